//! Settings of the command out of its file, its variable and its flags.

use {
    crate::error::{Error, Result},
    clap::ArgMatches,
    cowslip_settings::{
        operator::{self, OperatorSettings},
        overrides::Overrides,
    },
    std::{env, path::PathBuf},
};

/// Variable that goes over the token of the file.
const TOKEN: &str = "COWSLIPCTL_TOKEN";

/// Variable that names the file.
const FILE: &str = "COWSLIPCTL_SETTINGS";

/// Returns the settings; flags go over the variable, and both over the file.
pub(crate) fn load(matches: &ArgMatches) -> Result<OperatorSettings> {
    let given = matches.get_one::<PathBuf>("settings").cloned();
    let file = given.or_else(|| env::var_os(FILE).map(PathBuf::from));
    let token = env::var(TOKEN).ok().map(|value| format!("token={value:?}"));
    let flags = matches.get_many::<String>("set").unwrap_or_default();
    let all: Vec<_> = token.into_iter().chain(flags.cloned()).collect();
    let overrides = Overrides::parse(all.iter().map(String::as_str)).map_err(Error::Settings)?;
    operator::load(file.as_deref(), &overrides).map_err(Error::Settings)
}
