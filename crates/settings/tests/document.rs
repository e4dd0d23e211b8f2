//! The configuration document: checks, hash, edits and the examples.

use {
    cowslip_decide::{names::Name, verdict::Priority},
    cowslip_settings::{
        document::{self, Document},
        error::Error,
    },
    quickcheck::{Arbitrary, Gen},
    std::collections::{BTreeMap, BTreeSet},
};

const ISHIKARI: &str = include_str!("../../../examples/ishikari.toml");
const GRANITE: &str = include_str!("../../../examples/granite-ledge.toml");

const GOOD: &str = r#"withdrawn = ["hk-2"] # back on Monday
[[service]]
name = "registry"
divided = true
[[service.route]]
name = "lookup"
method = "GET"
priority = "low"
repeatable = true
deadline_ms = 1000
[[service.target]]
name = "board-1"
address = "127.0.0.1:8001"
data_centre = "hk-1"
slots = 2
cold_limit = 1
connections = 130
checks_fence = true
[[service.target]]
name = "board-2"
address = "127.0.0.1:8002"
data_centre = "hk-2"
slots = 2
cold_limit = 1
connections = 130
checks_fence = true
"#;

fn read(text: &str) -> Result<Document, Error> {
    document::parse(text, "board.toml")
}

#[track_caller]
fn refused(from: &str, to: &str, line: usize, path: &str, expected: &str) {
    assert!(GOOD.contains(from), "{from}");
    let error = read(&GOOD.replacen(from, to, 1)).expect_err(to);
    assert_eq!(
        (error.line(), error.path()),
        (Some(line), Some(path)),
        "{error}"
    );
    assert!(error.to_string().contains(expected), "{error}");
}

#[test]
fn errors_name_file_line_path_and_expectation() {
    let error = read(&GOOD.replace("cold_limit = 1", "cold_limit = 3")).expect_err("cold");
    let text =
        "board.toml:16: service[0].target[0].cold_limit: expected at most slots (2), found 3";
    assert_eq!(error.to_string(), text);
    refused(
        "connections = 130",
        "connections = 1",
        17,
        "service[0].target[0].connections",
        "at least slots (2)",
    );
    refused(
        "slots = 2",
        "slots = 0",
        15,
        "service[0].target[0].slots",
        "from 1 to 10000",
    );
    refused(
        "slots = 2",
        "slots = 2.5",
        15,
        "service[0].target[0].slots",
        "found 2.5",
    );
    refused(
        "slots = 2\n",
        "",
        11,
        "service[0].target[0].slots",
        "missing",
    );
    refused(
        "slots = 2",
        "slot = 2",
        15,
        "service[0].target[0].slot",
        "slots",
    );
    refused(
        "deadline_ms = 1000",
        "deadline_ms = 0",
        10,
        "service[0].route[0].deadline_ms",
        "from 1",
    );
    refused(
        "\"GET\"",
        "\"get\"",
        7,
        "service[0].route[0].method",
        "one of GET",
    );
    refused(
        "\"low\"",
        "\"lowest\"",
        8,
        "service[0].route[0].priority",
        "high, middle, low",
    );
    refused(
        "repeatable = true",
        "repeatable = 1",
        9,
        "service[0].route[0].repeatable",
        "true or false",
    );
    refused(
        "board-2",
        "board-1",
        20,
        "service[0].target[1].name",
        "service[0].target[0].name",
    );
    refused(
        "127.0.0.1:8002",
        "127.0.0.1:8001",
        21,
        "service[0].target[1].address",
        "target[0].address",
    );
    refused(
        "127.0.0.1:8001",
        "board-1:80",
        13,
        "service[0].target[0].address",
        "ip:port",
    );
    refused("[\"hk-2\"]", "[\"hk-3\"]", 1, "withdrawn", "hk-1, hk-2");
    refused(
        "[\"hk-2\"]",
        "[\"hk-2\", \"hk-2\"]",
        1,
        "withdrawn[1]",
        "not yet in the list",
    );
    refused("[\"hk-2\"]", "\"hk-2\"", 1, "withdrawn", "a list");
    refused("\"registry\"", "\"-\"", 3, "service[0].name", "a name");
    refused("withdrawn", "withdraw", 1, "withdraw", "unknown field");
    refused(
        "[[service.route]]",
        "[[service.routes]]",
        5,
        "service[0].routes",
        "unknown field",
    );
    refused("[[service]]", "[service]", 2, "service", "a list of tables");
}

#[test]
fn lists_must_not_be_empty_and_names_must_differ() {
    let error = read("").expect_err("empty");
    assert_eq!(error.path(), Some("service"));
    let error =
        read(&GOOD[..GOOD.find("[[service.target]]").expect("a target")]).expect_err("no target");
    assert_eq!(
        (error.line(), error.path()),
        (Some(2), Some("service[0].target"))
    );
    let route = &GOOD
        [GOOD.find("[[service.route]]").expect("it")..GOOD.find("[[service.target]]").expect("it")];
    let error = read(&GOOD.replace(route, "")).expect_err("no route");
    assert_eq!(error.path(), Some("service[0].route"));
    let error = read(&GOOD.replace(route, &route.repeat(2))).expect_err("two routes");
    assert_eq!(
        (error.line(), error.path()),
        (Some(12), Some("service[0].route[1].name"))
    );
    let second = GOOD
        .replace("withdrawn = [\"hk-2\"] # back on Monday\n", "")
        .replace("board", "other");
    let error = read(&format!("{GOOD}{second}")).expect_err("two services");
    assert_eq!(
        (error.line(), error.path()),
        (Some(28), Some("service[1].name"))
    );
}

#[test]
fn the_hash_is_sha256_in_hexadecimal() {
    let hash = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad";
    assert_eq!(document::hash("abc"), hash);
}

#[test]
fn an_edit_of_the_withdrawn_keeps_the_rest() {
    let none = document::with_withdrawn(GOOD, &BTreeSet::new()).expect("edit");
    assert_eq!(none, GOOD.replace("[\"hk-2\"]", "[]"));
    let both: BTreeSet<Name> = ["hk-2".into(), "hk-1".into()].into();
    let text = document::with_withdrawn(&none, &both).expect("edit");
    assert_eq!(read(&text).expect("good").withdrawn, both);
    assert!(text.contains("# back on Monday"));
    let absent = GOOD.replacen("withdrawn = [\"hk-2\"] # back on Monday\n", "", 1);
    let text = document::with_withdrawn(&absent, &both).expect("edit");
    assert_eq!(read(&text).expect("good").withdrawn, both);
    assert!(document::with_withdrawn("x = ", &both).is_err());
}

struct Expected {
    divided: bool,
    targets: usize,
    routes: &'static [(&'static str, Priority, bool)],
}

fn check(text: &str, slots: u32, connections: u32, centres: usize, expected: &[(&str, Expected)]) {
    let document = document::parse(text, "example").expect("good");
    assert_eq!(document.data_centres().len(), centres);
    assert_eq!(document.services.len(), expected.len());
    for (service, (name, expected)) in document.services.iter().zip(expected) {
        assert_eq!(
            (service.name.as_ref(), service.divided),
            (*name, expected.divided)
        );
        assert_eq!(service.targets.len(), expected.targets);
        let routes = service
            .routes
            .iter()
            .map(|it| (it.name.as_ref(), it.priority, it.repeatable));
        assert_eq!(routes.collect::<Vec<_>>(), expected.routes);
        for target in &service.targets {
            assert_eq!((target.slots, target.cold_limit), (slots, 1));
            assert_eq!(target.connections, connections);
        }
        let mut spread = BTreeMap::new();
        service
            .targets
            .iter()
            .for_each(|it| *spread.entry(&it.data_centre).or_insert(0) += 1);
        assert_eq!(spread.len(), centres, "{name}");
    }
}

#[test]
fn the_examples_have_the_sizes_of_today() {
    use Priority::{High, Low, Middle};
    let registry = Expected {
        divided: true,
        targets: 25,
        routes: &[("lookup", Low, true), ("removal", Middle, false)],
    };
    let dispatch = Expected {
        divided: false,
        targets: 8,
        routes: &[("booking", High, false), ("status", Middle, true)],
    };
    check(
        ISHIKARI,
        2,
        130,
        4,
        &[("registry", registry), ("dispatch", dispatch)],
    );
    let routes = &[
        ("clips", Low, true),
        ("retain", Middle, true),
        ("purge", Middle, false),
    ];
    let vault = Expected {
        divided: true,
        targets: 30,
        routes,
    };
    let routes = &[
        ("purchase", High, false),
        ("build", Middle, true),
        ("preview", Low, true),
    ];
    let reel = Expected {
        divided: false,
        targets: 6,
        routes,
    };
    check(GRANITE, 3, 50, 3, &[("vault", vault), ("reel", reel)]);
}

/// A document that was changed in any one place is refused with a place, or passes and keeps the rules.
#[test]
fn changed_documents_are_refused_or_keep_the_rules() {
    let seeds = std::env::var("COWSLIP_FUZZ_SEEDS")
        .ok()
        .and_then(|it| it.parse().ok());
    for seed in 0..seeds.unwrap_or(300) {
        let mut random = Gen::from_size_and_seed(20, seed);
        let mut text: Vec<char> = GOOD.chars().collect();
        for _ in 0..=u8::arbitrary(&mut random) % 3 {
            let at = usize::arbitrary(&mut random) % text.len();
            let pieces = ["", "0", "-", "\"", "[", "\n", "2", "board-1"];
            let piece = random.choose(&pieces).copied().unwrap_or_default();
            let _ = text.splice(at..=at, piece.chars());
        }
        let text: String = text.into_iter().collect();
        match read(&text) {
            Ok(document) => keeps_the_rules(&document, &text),
            Err(error) => assert!(error.line().is_some(), "seed {seed}: {error}"),
        }
    }
}

fn keeps_the_rules(document: &Document, text: &str) {
    let targets: Vec<_> = document
        .services
        .iter()
        .flat_map(|it| &it.targets)
        .collect();
    let names: BTreeSet<_> = targets.iter().map(|it| &it.name).collect();
    let addresses: BTreeSet<_> = targets.iter().map(|it| &it.address).collect();
    assert_eq!(
        (names.len(), addresses.len()),
        (targets.len(), targets.len()),
        "{text}"
    );
    for target in targets {
        assert!(
            1 <= target.cold_limit && target.cold_limit <= target.slots,
            "{text}"
        );
        assert!(target.connections >= target.slots, "{text}");
        assert!(
            target.address.parse::<std::net::SocketAddr>().is_ok(),
            "{text}"
        );
    }
    let centres = document.data_centres();
    assert!(
        document.withdrawn.iter().all(|it| centres.contains(it)),
        "{text}"
    );
}
