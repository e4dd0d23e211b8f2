//! Ranks of organisations' requests, and lookup of organisations by their keys.

use {
    super::{Organisations, rank},
    crate::serve::request::BadRequest,
    cowslip_adapter::config::Config,
    cowslip_adapter_standins::config::{build_config, with_organisations},
    cowslip_decide::names::Name,
};

fn replaced(organisations: &Organisations, version: &str, keys: &[&str]) {
    let rows = [
        ("first", keys, 1, 10, 10),
        ("second", &["shared"][..], 0, 0, 0),
    ];
    let text = with_organisations(&build_config(version, "boards"), &rows, false);
    let mut config = Config::try_from(text.as_bytes()).expect("a configuration");
    organisations.replace(&mut config);
    let left = config.organisations.expect("organisations");
    assert!(
        left.iter().all(|it| it.keys.is_empty()),
        "keys are kept as hashes only"
    );
}

fn caller(organisations: &Organisations, key: &str) -> Result<Option<Name>, BadRequest> {
    let found = organisations.find_caller(Some(key.as_bytes()))?;
    Ok(found.map(|it| it.name.clone()))
}

#[test]
fn the_priority_of_an_organisation_goes_before_that_of_the_route() {
    let organisations = Organisations::default();
    replaced(&organisations, "r1", &["a"]);
    let first = organisations.find_caller(Some(b"a")).expect("a key");
    let second = organisations.find_caller(Some(b"shared")).expect("a key");
    let ranks = [
        (&second, 0),
        (&second, 9),
        (&first, 0),
        (&first, 2),
        (&first, 200),
    ];
    let ranks = ranks.map(|(organisation, route)| rank(organisation.as_deref(), route));
    assert!(ranks.is_sorted() && ranks[1] < ranks[2], "{ranks:?}");
    assert_eq!(rank(None, 200), 200);
}

#[test]
fn callers_are_found_by_their_keys_in_the_latest_configuration() {
    let organisations = Organisations::default();
    assert_eq!(
        organisations.find_caller(None).expect("no keys needed"),
        None
    );
    replaced(&organisations, "r1", &["a", "b", "shared"]);
    assert_eq!(caller(&organisations, "b"), Ok(Some("first".into())));
    // Of two organisations with the same key, the first one has it.
    assert_eq!(caller(&organisations, "shared"), Ok(Some("first".into())));
    assert_eq!(organisations.find_caller(None), Err(BadRequest::UnknownKey));
    replaced(&organisations, "r2", &["a"]);
    assert_eq!(caller(&organisations, "b"), Err(BadRequest::UnknownKey));
    assert_eq!(caller(&organisations, "shared"), Ok(Some("second".into())));
}
