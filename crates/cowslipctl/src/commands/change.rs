//! The subcommands that publish.

use {
    super::{read, store},
    crate::{
        error::{Error, Exit, Result},
        reply::Reply,
        status,
        store::{Current, Store, lost},
    },
    clap::ArgMatches,
    cowslip_decide::names::Name,
    cowslip_settings::{document, operator::Operator},
    serde_json::json,
    std::{collections::BTreeSet, path::Path, time::Duration},
};

/// What a change does to the list of withdrawn data centres.
type Edit = fn(&mut BTreeSet<Name>, Name) -> bool;

/// Publishes a file.
pub(super) async fn publish(
    settings: &Operator,
    matches: &ArgMatches,
    path: &Path,
) -> Result<Reply> {
    let text = read(path)?;
    let file = path.display().to_string();
    document::parse(&text, &file).map_err(Error::Invalid)?;
    let store = store(settings)?;
    let found = store.current().await?;
    if let Some(found) = unchanged(matches, found.as_ref(), &text) {
        return Ok(said(found, "unchanged"));
    }
    let expected = expected(matches, found.as_ref());
    let current = store.publish(&text, &file, expected).await?;
    followed(settings, matches, &current, "published").await
}

/// Takes a data centre out.
pub(super) async fn withdraw(settings: &Operator, matches: &ArgMatches) -> Result<Reply> {
    edit(settings, matches, "withdrawn", BTreeSet::insert).await
}

/// Takes a data centre back in.
pub(super) async fn restore(settings: &Operator, matches: &ArgMatches) -> Result<Reply> {
    edit(settings, matches, "restored", |names, name| {
        names.remove(&name)
    })
    .await
}

async fn edit(
    settings: &Operator,
    matches: &ArgMatches,
    word: &str,
    change: Edit,
) -> Result<Reply> {
    let store = store(settings)?;
    let name = matches
        .get_one::<String>("data_centre")
        .map_or("", String::as_str);
    let (found, text) = published(&store).await?;
    let document = document::parse(&text, "published document").map_err(Error::Invalid)?;
    known(&document, name)?;
    let mut names = document.withdrawn.clone();
    let expected = expected(matches, Some(&found));
    // The text is that of the version found: it must replace no other one.
    if expected != found.version {
        return Err(lost(expected, Some(found)));
    }
    if !change(&mut names, name.into()) {
        return Ok(said(&found, &format!("{name} already {word}")));
    }
    let text = document::with_withdrawn(&text, &names).map_err(Error::Invalid)?;
    let current = store
        .publish(&text, "changed document", found.version)
        .await?;
    followed(settings, matches, &current, &format!("{name} {word}")).await
}

async fn published(store: &Store) -> Result<(Current, String)> {
    let found = store
        .current()
        .await?
        .ok_or_else(|| Error::Refused("no document is published yet".to_owned()))?;
    let text = store.document(&found.hash).await?;
    Ok((found, text))
}

fn known(document: &document::Document, name: &str) -> Result<()> {
    let names = document.data_centres();
    if names.iter().any(|known| known.as_ref() == name) {
        return Ok(());
    }
    let names: Vec<&str> = names.iter().map(|known| known.as_ref()).collect();
    let names = names.join(", ");
    let message = format!("data centre {name:?} has no target; there are {names}");
    Err(Error::Refused(message))
}

fn unchanged<'a>(
    matches: &ArgMatches,
    found: Option<&'a Current>,
    text: &str,
) -> Option<&'a Current> {
    let found = found?;
    let same = found.hash == document::hash(text);
    (same && expected(matches, Some(found)) == found.version).then_some(found)
}

fn expected(matches: &ArgMatches, found: Option<&Current>) -> u64 {
    let given = matches.get_one::<u64>("expect").copied();
    given.unwrap_or_else(|| found.map_or(0, |found| found.version))
}

/// Waits until the instances follow, if the operator asked for it.
async fn followed(
    settings: &Operator,
    matches: &ArgMatches,
    current: &Current,
    word: &str,
) -> Result<Reply> {
    let mut reply = said(current, word);
    let Some(seconds) = matches.get_one::<u64>("wait") else {
        return Ok(reply);
    };
    let limit = Duration::from_secs(*seconds);
    let behind = status::behind(settings, current.version, limit).await;
    reply.json["behind"] = json!(behind);
    if behind.is_empty() {
        reply.text += "in force at every instance\n";
        return Ok(reply);
    }
    for (name, cause) in &behind {
        reply.text += &format!("not in force at {name}: {cause}\n");
    }
    reply.exit = Exit::Partly;
    Ok(reply)
}

fn said(current: &Current, word: &str) -> Reply {
    let Current {
        version,
        hash,
        author,
    } = current;
    let text = format!("{word}: version {version} by {author:?}, hash {hash}\n");
    let json = json!({ "done": word, "version": version, "author": author, "hash": hash });
    Reply::done(text, json)
}
