//! Dispatches subcommands and prints their output.

use {
    crate::{
        cli, configuration,
        error::{Error, ExitStatus, Result},
        explain,
        output::CommandOutput,
        settings_loader, status, timeline,
    },
    clap::ArgMatches,
    std::{
        ffi::OsString,
        io::{self, Write},
        path::{Path, PathBuf},
    },
};

/// Runs a command line, prints its output and returns the exit status.
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
        Ok(output) => {
            print_output(&mut io::stdout().lock(), &output, json)?;
            Ok(output.exit_status)
        }
        Err(error) => {
            let output = CommandOutput::from(&error);
            match json {
                true => print_output(&mut io::stdout().lock(), &output, true)?,
                false => writeln!(io::stderr(), "cowslipctl: {}", output.text)?,
            }
            Ok(output.exit_status)
        }
    }
}

async fn run_subcommand(matches: &ArgMatches) -> Result<CommandOutput> {
    let Some((name, matches)) = matches.subcommand() else {
        return Err(Error::MissingInput("expected a subcommand".to_owned()));
    };
    if name == "check" {
        let next = configuration::read_file(required_path(matches, "file"))?;
        let against = match matches.get_one::<String>("against").map(String::as_str) {
            None => None,
            Some("store") => {
                let settings = settings_loader::load_settings(matches)?;
                Some(configuration::read_stored(&settings).await?)
            }
            Some(file) => Some(configuration::read_file(Path::new(file))?),
        };
        return configuration::check(&next, against.as_ref());
    }
    if name == "explain" {
        return explain::explain_request(matches);
    }
    let settings = settings_loader::load_settings(matches)?;
    match name {
        "show" => configuration::show_stored(&settings).await,
        "status" => status::show_status(&settings).await,
        _ => timeline::show_timeline(&settings, matches).await,
    }
}

fn print_output(out: &mut impl Write, output: &CommandOutput, json: bool) -> io::Result<()> {
    match json {
        true => writeln!(out, "{}", output.json),
        false => out.write_all(output.text.as_bytes()),
    }
}

/// Returns the path of a required argument, without which clap rejects the command line.
fn required_path<'a>(matches: &'a ArgMatches, name: &str) -> &'a Path {
    matches
        .get_one::<PathBuf>(name)
        .map_or(Path::new(""), PathBuf::as_path)
}
