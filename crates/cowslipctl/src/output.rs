//! Output of a subcommand, as text and as JSON.

use {
    crate::error::{Error, ExitStatus},
    serde_json::{Value, json},
};

/// Output of a subcommand.
#[derive(Clone, Debug)]
pub struct CommandOutput {
    /// Output without `--json`.
    pub text: String,
    /// Output with `--json`.
    pub json: Value,
    /// Exit status of the process.
    pub exit_status: ExitStatus,
}

impl CommandOutput {
    /// Creates the output of a subcommand that succeeded.
    pub fn success(text: impl Into<String>, json: Value) -> Self {
        Self {
            text: text.into(),
            json,
            exit_status: ExitStatus::Success,
        }
    }
}

impl From<&Error> for CommandOutput {
    fn from(error: &Error) -> Self {
        let exit_status = error.exit_status();
        let mut json = json!({ "error": error.to_string(), "exit": exit_status.code() });
        if let Error::Settings(error) = error {
            json["line"] = json!(error.line());
            json["path"] = json!(error.path());
        }
        Self {
            text: error.to_string(),
            json,
            exit_status,
        }
    }
}
