//! A caller's request on its way from the entry duty to its answer.

use {
    crate::work::{Aim, Outcome, Work},
    bytes::Bytes,
    cowslip_decide::{names::Name, verdict::Priority},
    tokio::{sync::oneshot, time::Instant},
};

/// A classified request.
#[derive(Clone, Debug)]
pub struct Job {
    /// Id of the request, unique over all instances.
    pub request: Name,
    /// Service of the request.
    pub service: Name,
    /// Route of the request.
    pub route: Name,
    /// Key and its hash, for divided services.
    pub key: Option<(Name, u64)>,
    /// Rank in every queue.
    pub priority: Priority,
    /// Whether running it twice is harmless.
    pub repeatable: bool,
    /// Time by which the caller wants the answer.
    pub deadline: Instant,
    /// Id of the order, if the caller gave one.
    pub order: Option<Name>,
    /// HTTP method.
    pub method: http::Method,
    /// Media type of the body.
    pub media: Option<Name>,
    /// Whole body.
    pub body: Bytes,
}

/// A job with the place for its end; dropping the receiver says that the caller has left.
#[derive(Debug)]
pub struct JobTicket {
    /// The request.
    pub job: Job,
    /// Receives the end.
    pub reply: oneshot::Sender<Outcome>,
}

impl Job {
    /// Returns the attempt with number `number` of this request.
    pub fn attempt(&self, number: u32, aim: Aim) -> Work {
        Work {
            request: format!("{}.{number}", self.request).into(),
            service: self.service.clone(),
            route: self.route.clone(),
            key: self.key.as_ref().map(|(key, _)| key.clone()),
            hash: self.key.as_ref().map(|&(_, hash)| hash),
            aim,
            priority: self.priority,
            repeatable: self.repeatable,
            deadline: self.deadline,
            order: self.order.clone(),
            method: self.method.clone(),
            media: self.media.clone(),
            body: self.body.clone(),
        }
    }
}
