//! The paths of the operators' port.

use {
    super::{Sources, access},
    gotham::{
        handler::{Handler, HandlerFuture, NewHandler},
        helpers::http::{Body, response::create_response},
        mime::{APPLICATION_JSON, Mime, TEXT_PLAIN_UTF_8},
        prelude::*,
        router::{Router, build_simple_router},
        state::State,
    },
    http::{HeaderMap, HeaderValue, Response, StatusCode, Uri, header::WWW_AUTHENTICATE},
    serde::Serialize,
    serde_json::json,
    std::{future::ready, panic::RefUnwindSafe, pin::Pin, sync::Arc},
};

/// What a path answers.
type Reply = fn(&Sources, &Uri) -> Answer;

/// One path.
#[derive(Clone)]
struct Endpoint {
    sources: Arc<Sources>,
    reply: Reply,
    access: Access,
}

/// Whether a path needs the token.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Access {
    Open,
    Token,
}

struct Answer {
    status: StatusCode,
    media: Mime,
    body: Vec<u8>,
}

/// Returns the router of all paths.
pub(super) fn router(sources: Arc<Sources>) -> Router {
    let endpoint = |reply: Reply, access: Access| Endpoint {
        sources: sources.clone(),
        reply,
        access,
    };
    build_simple_router(|route| {
        route
            .get("/healthz")
            .to_new_handler(endpoint(healthz, Access::Open));
        route
            .get("/metrics")
            .to_new_handler(endpoint(metrics, Access::Token));
        route
            .get("/status")
            .to_new_handler(endpoint(status, Access::Token));
        route
            .get("/events")
            .to_new_handler(endpoint(events, Access::Token));
    })
}

fn healthz(_: &Sources, _: &Uri) -> Answer {
    json(StatusCode::OK, &json!({ "status": "ok" }))
}

fn metrics(sources: &Sources, _: &Uri) -> Answer {
    Answer {
        status: StatusCode::OK,
        media: TEXT_PLAIN_UTF_8,
        body: sources.metrics.text(),
    }
}

fn status(sources: &Sources, _: &Uri) -> Answer {
    json(StatusCode::OK, sources.status.load().as_ref())
}

fn events(sources: &Sources, uri: &Uri) -> Answer {
    match after(uri.query().unwrap_or_default()) {
        Ok(after) => json(StatusCode::OK, &sources.events.page(after)),
        Err(message) => json(StatusCode::BAD_REQUEST, &json!({ "error": message })),
    }
}

/// Returns the number that the events must be above.
fn after(query: &str) -> Result<u64, String> {
    let Some(value) = query.strip_prefix("after=") else {
        return match query {
            "" => Ok(0),
            _ => Err(format!("query {query:?} is not after=NUMBER")),
        };
    };
    value
        .parse()
        .map_err(|_| format!("after={value:?} is not a whole number"))
}

fn json(status: StatusCode, value: &impl Serialize) -> Answer {
    match serde_json::to_vec(value) {
        Ok(body) => Answer {
            status,
            media: APPLICATION_JSON,
            body,
        },
        Err(error) => Answer {
            status: StatusCode::INTERNAL_SERVER_ERROR,
            media: TEXT_PLAIN_UTF_8,
            body: error.to_string().into_bytes(),
        },
    }
}

/// A panic in a reply leaves nothing of the sources half changed.
impl RefUnwindSafe for Endpoint {}

impl NewHandler for Endpoint {
    type Instance = Self;

    fn new_handler(&self) -> gotham::anyhow::Result<Self> {
        Ok(self.clone())
    }
}

impl Handler for Endpoint {
    fn handle(self, state: State) -> Pin<Box<HandlerFuture>> {
        let response = self.respond(&state);
        Box::pin(ready(Ok((state, response))))
    }
}

impl Endpoint {
    fn respond(&self, state: &State) -> Response<Body> {
        let granted = access::granted(HeaderMap::borrow_from(state), &self.sources.token);
        if self.access == Access::Token && !granted {
            return refusal(state);
        }
        let answer = (self.reply)(&self.sources, Uri::borrow_from(state));
        create_response(state, answer.status, answer.media, answer.body)
    }
}

fn refusal(state: &State) -> Response<Body> {
    let error = json!({ "error": "expected header \"Authorization: Bearer TOKEN\"" });
    let body = error.to_string();
    let mut response = create_response(state, StatusCode::UNAUTHORIZED, APPLICATION_JSON, body);
    response
        .headers_mut()
        .insert(WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
    response
}
