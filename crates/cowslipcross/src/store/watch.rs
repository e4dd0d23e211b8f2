//! Measures calls of the platform and notes when a service of it goes down and comes back.

use {
    crate::{
        context::Context,
        events::{self, About, Code},
    },
    cowslip_platform::{Error, Result},
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::Instant,
    },
};

/// Watches the calls of all services.
#[derive(Debug)]
pub struct Watch {
    context: Arc<Context>,
    table_down: AtomicBool,
    objects_down: AtomicBool,
}

impl Watch {
    /// Returns a watch that takes every service for up.
    pub fn new(context: Arc<Context>) -> Self {
        Self {
            context,
            table_down: AtomicBool::new(false),
            objects_down: AtomicBool::new(false),
        }
    }

    /// Carries out a call of the table service.
    ///
    /// # Errors
    /// Passes on the error of the call.
    pub async fn table<T>(&self, call: &str, work: impl Future<Output = Result<T>>) -> Result<T> {
        let end = self.measured(call, work).await;
        let codes = (events::TABLE_DOWN, Some(events::TABLE_UP));
        self.judge(&self.table_down, codes, end.as_ref().err());
        end
    }

    /// Carries out a call of the object store.
    ///
    /// # Errors
    /// Passes on the error of the call.
    pub async fn objects<T>(&self, call: &str, work: impl Future<Output = Result<T>>) -> Result<T> {
        let end = self.measured(call, work).await;
        let codes = (events::OBJECTS_DOWN, None);
        self.judge(&self.objects_down, codes, end.as_ref().err());
        end
    }

    /// Carries out a call and counts its end.
    ///
    /// # Errors
    /// Passes on the error of the call.
    pub async fn measured<T>(
        &self,
        call: &str,
        work: impl Future<Output = Result<T>>,
    ) -> Result<T> {
        let start = Instant::now();
        let end = work.await;
        let word = word(end.as_ref().err());
        self.context
            .metrics
            .platform_call(call, word, start.elapsed());
        end
    }

    fn judge(&self, down: &AtomicBool, codes: (Code, Option<Code>), error: Option<&Error>) {
        let gone = error.filter(|error| matches!(error, Error::NotSent(_) | Error::Unknown(_)));
        let before = down.swap(gone.is_some(), Ordering::Relaxed);
        match (before, gone) {
            (false, Some(error)) => self.note(codes.0, error.to_string()),
            (true, None) => {
                let _ = codes
                    .1
                    .inspect(|code| self.note(*code, "it answers again".to_owned()));
            }
            _ => {}
        }
    }

    fn note(&self, code: Code, detail: String) {
        let detail = Some(detail);
        let about = About {
            detail,
            ..About::default()
        };
        self.context.events.note(code, about);
    }
}

/// Returns the word of a call's end in metrics.
fn word(error: Option<&Error>) -> &'static str {
    match error {
        None => "ok",
        Some(Error::Refused { .. }) => "refused",
        Some(Error::Rejected { .. }) => "rejected",
        Some(Error::NotSent(_)) => "not-sent",
        Some(Error::Unknown(_)) => "unknown",
    }
}
