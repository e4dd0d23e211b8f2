//! Loads the settings of the command from its file, environment variables and flags.

use {
    crate::error::{Error, Result},
    clap::ArgMatches,
    cowslip_settings::{
        operator::{self, OperatorSettings},
        overrides::Overrides,
    },
    std::{env, path::PathBuf},
};

/// Environment variable that overrides the token of the settings file.
const TOKEN_VARIABLE: &str = "COWSLIPCTL_TOKEN";

/// Environment variable with the path of the settings file.
const FILE_VARIABLE: &str = "COWSLIPCTL_SETTINGS";

/// Returns the settings; `--set` overrides the token variable, and both override the file.
pub(crate) fn load_settings(matches: &ArgMatches) -> Result<OperatorSettings> {
    let flag_path = matches.get_one::<PathBuf>("settings").cloned();
    let file = flag_path.or_else(|| env::var_os(FILE_VARIABLE).map(PathBuf::from));
    let token = env::var(TOKEN_VARIABLE)
        .ok()
        .map(|value| format!("token={value:?}"));
    let flags = matches.get_many::<String>("set").unwrap_or_default();
    let all: Vec<_> = token.into_iter().chain(flags.cloned()).collect();
    let overrides = Overrides::parse(all.iter().map(String::as_str)).map_err(Error::Settings)?;
    operator::load(file.as_deref(), &overrides).map_err(Error::Settings)
}
