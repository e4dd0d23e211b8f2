//! Settings of the command out of its file, its variables and its flags.

use {
    crate::error::{Error, Result},
    clap::ArgMatches,
    cowslip_settings::{
        operator::{self, Operator},
        overrides::Overrides,
    },
    std::{env, path::PathBuf},
};

/// Variables that go over a field of the file.
const VARIABLES: [(&str, &str); 2] = [
    ("COWSLIPCTL_TOKEN", "token"),
    ("COWSLIPCTL_AUTHOR", "author"),
];

/// Variable that names the file.
const FILE: &str = "COWSLIPCTL_SETTINGS";

/// Returns the settings; flags go over variables, and both over the file.
pub(crate) fn settings(matches: &ArgMatches) -> Result<Operator> {
    let given = matches.get_one::<PathBuf>("settings").cloned();
    let file = given.or_else(|| env::var_os(FILE).map(PathBuf::from));
    let variables = VARIABLES.into_iter().filter_map(|(variable, field)| {
        let value = env::var(variable).ok()?;
        Some(format!("{field}={value:?}"))
    });
    let flags = matches.get_many::<String>("set").unwrap_or_default();
    let all: Vec<_> = variables.chain(flags.cloned()).collect();
    let overrides = Overrides::parse(all.iter().map(String::as_str)).map_err(Error::Settings)?;
    operator::load(file.as_deref(), &overrides).map_err(Error::Settings)
}
