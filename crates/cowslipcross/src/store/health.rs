//! Whether the services of the platform answer, told once for each change.

use {
    crate::{
        context::Context,
        events::{self, About, Code},
    },
    cowslip_platform::{Error, Result},
    std::sync::atomic::{AtomicBool, Ordering},
    tokio::time::Instant,
};

/// State of one service.
#[derive(Debug)]
pub struct Health {
    call: &'static str,
    down: AtomicBool,
    gone: Code,
    back: Option<Code>,
}

impl Health {
    /// Returns the state of the table service, which is taken to answer.
    pub fn table() -> Self {
        Self::new("table", events::TABLE_DOWN, Some(events::TABLE_UP))
    }

    /// Returns the state of the object store, which is taken to answer.
    pub fn objects() -> Self {
        Self::new("objects", events::OBJECTS_DOWN, None)
    }

    /// Returns the state of the instance list, which is taken to answer.
    pub fn list() -> Self {
        Self::new("instances", events::LIST_DOWN, None)
    }

    fn new(call: &'static str, gone: Code, back: Option<Code>) -> Self {
        Self {
            call,
            down: AtomicBool::new(false),
            gone,
            back,
        }
    }

    /// Waits for a call, counts it and notes whether the service answers.
    pub async fn watch<T>(
        &self,
        context: &Context,
        call: impl Future<Output = Result<T>>,
    ) -> Result<T> {
        let start = Instant::now();
        let result = call.await;
        let (end, why) = match &result {
            Ok(_) => ("ok", None),
            Err(Error::Refused { .. }) => ("refused", None),
            Err(Error::Rejected { .. }) => ("rejected", None),
            Err(error @ Error::NotSent(_)) => ("not-sent", Some(error.to_string())),
            Err(error @ Error::Unknown(_)) => ("unknown", Some(error.to_string())),
        };
        context
            .metrics
            .platform_call(self.call, end, start.elapsed());
        self.note(context, why);
        result
    }

    fn note(&self, context: &Context, why: Option<String>) {
        let down = why.is_some();
        if self.down.swap(down, Ordering::Relaxed) == down {
            return;
        }
        let code = if down { Some(self.gone) } else { self.back };
        if let Some(code) = code {
            let detail = why.or_else(|| Some("it answers".to_owned()));
            context.events.note(
                code,
                About {
                    detail,
                    ..About::default()
                },
            );
        }
    }
}
