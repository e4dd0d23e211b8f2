//! Keeps instances of other deployments out.

use {
    crate::context::Context,
    cowslip_decide::names::Name,
    std::result,
    tonic::{Request, Status, metadata::AsciiMetadataValue},
};

const DEPLOYMENT: &str = "cowslip-deployment";
const TOKEN: &str = "cowslip-token";

/// Result of a check.
pub type Result<T> = result::Result<T, Status>;

/// Deployment and secret that every message between instances carries.
#[derive(Clone, Debug)]
pub struct Access {
    deployment: Name,
    token: Name,
}

impl Access {
    /// Returns the access of this instance's deployment.
    pub fn new(context: &Context) -> Self {
        Self {
            deployment: context.settings.deployment.clone(),
            token: context.settings.token.clone(),
        }
    }

    /// Refuses a message of another deployment or with another secret.
    ///
    /// # Errors
    ///
    /// Answers `permission denied` and names what differs.
    pub fn check(&self, request: Request<()>) -> Result<Request<()>> {
        let metadata = request.metadata();
        let says = |key| {
            metadata
                .get(key)
                .and_then(|value| value.to_str().ok())
                .unwrap_or("")
        };
        let deployment = says(DEPLOYMENT);
        if deployment != &*self.deployment {
            return Err(Status::permission_denied(format!(
                "deployment {deployment:?} is not {:?}",
                self.deployment
            )));
        }
        if says(TOKEN) != &*self.token {
            return Err(Status::permission_denied("token is not the deployment's"));
        }
        Ok(request)
    }

    /// Adds deployment and secret to a message.
    ///
    /// # Errors
    ///
    /// Fails if a setting cannot be sent in a header.
    pub fn sign<T>(&self, message: T) -> Result<Request<T>> {
        let mut request = Request::new(message);
        for (key, value) in [(DEPLOYMENT, &self.deployment), (TOKEN, &self.token)] {
            let value = AsciiMetadataValue::try_from(&**value)
                .map_err(|error| Status::invalid_argument(format!("{key}: {error}")))?;
            request.metadata_mut().insert(key, value);
        }
        Ok(request)
    }
}
