//! The subcommands.

use {
    crate::{
        cli, configuration,
        error::{Error, ExitStatus, Result},
        explain,
        output::CommandOutput,
        settings, status, timeline,
    },
    clap::ArgMatches,
    std::{
        ffi::OsString,
        io::{self, Write},
        path::{Path, PathBuf},
    },
};

/// Runs the command line, prints what it has to say and returns the exit code.
///
/// # Errors
/// Fails if the output cannot be written.
pub async fn run(args: impl IntoIterator<Item = OsString>) -> io::Result<ExitStatus> {
    let matches = match cli::build_command().try_get_matches_from(args) {
        Ok(matches) => matches,
        Err(error) => {
            error.print()?;
            return Ok(if error.use_stderr() {
                ExitStatus::Usage
            } else {
                ExitStatus::Success
            });
        }
    };
    let json = matches.get_flag("json");
    match run_subcommand(&matches).await {
        Ok(reply) => {
            print(&mut io::stdout().lock(), &reply, json)?;
            Ok(reply.exit_status)
        }
        Err(error) => {
            let reply = CommandOutput::from(&error);
            match json {
                true => print(&mut io::stdout().lock(), &reply, true)?,
                false => writeln!(io::stderr(), "cowslipctl: {}", reply.text)?,
            }
            Ok(reply.exit_status)
        }
    }
}

async fn run_subcommand(matches: &ArgMatches) -> Result<CommandOutput> {
    let Some((name, matches)) = matches.subcommand() else {
        return Err(Error::Usage("expected a subcommand".to_owned()));
    };
    if name == "check" {
        return configuration::check_file(required(matches, "file"));
    }
    if name == "explain" {
        return explain::explain_request(matches);
    }
    let settings = settings::load(matches)?;
    match name {
        "show" => configuration::show_stored(&settings).await,
        "status" => status::show_status(&settings).await,
        _ => timeline::show_timeline(&settings, matches).await,
    }
}

fn print(out: &mut impl Write, reply: &CommandOutput, json: bool) -> io::Result<()> {
    match json {
        true => writeln!(out, "{}", reply.json),
        false => out.write_all(reply.text.as_bytes()),
    }
}

/// Returns a file that the command line requires.
fn required<'a>(matches: &'a ArgMatches, name: &str) -> &'a Path {
    matches
        .get_one::<PathBuf>(name)
        .map_or(Path::new(""), PathBuf::as_path)
}
