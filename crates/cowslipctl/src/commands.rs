//! The subcommands.

mod change;

use {
    crate::{
        access, cli,
        error::{Error, Exit, Result},
        explain,
        reply::Reply,
        status,
        store::Store,
        timeline,
    },
    clap::ArgMatches,
    cowslip_settings::{document, operator::Operator},
    serde_json::json,
    std::{
        ffi::OsString,
        fs,
        io::{self, Write},
        path::{Path, PathBuf},
        time::Duration,
    },
};

/// Runs the command line, prints what it has to say and returns the exit code.
///
/// # Errors
/// Fails if the output cannot be written.
pub async fn main(args: impl IntoIterator<Item = OsString>) -> io::Result<Exit> {
    let matches = match cli::command().try_get_matches_from(args) {
        Ok(matches) => matches,
        Err(error) => {
            error.print()?;
            return Ok(if error.use_stderr() {
                Exit::Usage
            } else {
                Exit::Done
            });
        }
    };
    let json = matches.get_flag("json");
    match run(&matches).await {
        Ok(reply) => {
            print(&mut io::stdout().lock(), &reply, json)?;
            Ok(reply.exit)
        }
        Err(error) => {
            let reply = Reply::from(&error);
            match json {
                true => print(&mut io::stdout().lock(), &reply, true)?,
                false => writeln!(io::stderr(), "cowslipctl: {}", reply.text)?,
            }
            Ok(reply.exit)
        }
    }
}

async fn run(matches: &ArgMatches) -> Result<Reply> {
    let Some((name, matches)) = matches.subcommand() else {
        return Err(Error::Lacking("expected a subcommand".to_owned()));
    };
    if name == "check" {
        return check(required(matches, "file"));
    }
    if name == "explain" {
        return explain::show(matches);
    }
    let settings = access::settings(matches)?;
    match name {
        "publish" => change::publish(&settings, matches, required(matches, "file")).await,
        "withdraw" => change::withdraw(&settings, matches).await,
        "restore" => change::restore(&settings, matches).await,
        "show" => show(&settings).await,
        "status" => status::show(&settings).await,
        _ => timeline::show(&settings, matches).await,
    }
}

fn check(path: &Path) -> Result<Reply> {
    let file = path.display().to_string();
    let text = read(path)?;
    let document = document::parse(&text, &file).map_err(Error::Invalid)?;
    let targets: usize = document
        .services
        .iter()
        .map(|service| service.targets.len())
        .sum();
    let services = document.services.len();
    let hash = document::hash(&text);
    let said = format!("{file}: valid, {services} services, {targets} targets, hash {hash}\n");
    let json = json!({
        "file": file, "valid": true, "services": services, "targets": targets, "hash": hash,
    });
    Ok(Reply::done(said, json))
}

async fn show(settings: &Operator) -> Result<Reply> {
    let store = store(settings)?;
    let current = store
        .current()
        .await?
        .ok_or_else(|| Error::Refused("no document is published yet".to_owned()))?;
    let text = store.document(&current.hash).await?;
    let head = format!(
        "# version {} by {:?}, hash {}\n",
        current.version, current.author, current.hash
    );
    let json = json!({
        "version": current.version, "author": current.author, "hash": current.hash,
        "document": text,
    });
    Ok(Reply::done(head + &text, json))
}

fn print(out: &mut impl Write, reply: &Reply, json: bool) -> io::Result<()> {
    match json {
        true => writeln!(out, "{}", reply.json),
        false => out.write_all(reply.text.as_bytes()),
    }
}

fn read(path: &Path) -> Result<String> {
    fs::read_to_string(path).map_err(|cause| Error::File {
        file: path.display().to_string(),
        cause,
    })
}

fn store(settings: &Operator) -> Result<Store> {
    let lacking = || Error::Lacking("settings: platform: missing, expected a table".to_owned());
    let platform = settings.platform.as_ref().ok_or_else(lacking)?;
    let limit = Duration::from_millis(settings.timeout_ms);
    Ok(Store::new(platform, settings.author.clone(), limit))
}

/// Returns a file that the command line requires.
fn required<'a>(matches: &'a ArgMatches, name: &str) -> &'a Path {
    matches
        .get_one::<PathBuf>(name)
        .map_or(Path::new(""), PathBuf::as_path)
}
