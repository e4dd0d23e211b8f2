//! What a subcommand prints, as text and as JSON.

use {
    crate::error::{Error, ExitStatus},
    serde_json::{Value, json},
};

/// Output of a subcommand.
#[derive(Clone, Debug)]
pub struct CommandOutput {
    /// For people.
    pub text: String,
    /// For scripts.
    pub json: Value,
    /// Exit code.
    pub exit_status: ExitStatus,
}

impl CommandOutput {
    /// Returns the output of a subcommand that did all it should.
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
