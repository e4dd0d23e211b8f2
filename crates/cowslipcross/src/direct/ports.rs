//! The platform's question whether the instance is ready, and the operators' metrics.

use {
    super::{answer::Body, context::Context},
    bytes::Bytes,
    cowslip_adapter::places::READY_PATH,
    http::{Response, StatusCode},
    http_body_util::Full,
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    std::{convert::Infallible, rc::Rc, time::Duration},
    tokio::{net::TcpListener, task::spawn_local, time::sleep},
};

/// Time for a head, and for which a connection may be idle.
const IDLE: Duration = Duration::from_secs(10);
/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Answers whether the instance is ready.
pub async fn readiness(context: Rc<Context>, listener: TcpListener) {
    serve(listener, move |path| match path {
        READY_PATH if context.ready() => plain(StatusCode::OK, "ready"),
        READY_PATH => plain(StatusCode::SERVICE_UNAVAILABLE, "not ready"),
        _ => plain(StatusCode::NOT_FOUND, "no such page"),
    })
    .await;
}

/// Answers operators.
pub async fn operators(context: Rc<Context>, listener: TcpListener) {
    serve(listener, move |path| match path {
        "/metrics" => Response::new(Full::new(context.metrics.text(&context).into())),
        "/healthz" => plain(StatusCode::OK, "ok"),
        _ => plain(StatusCode::NOT_FOUND, "no such page"),
    })
    .await;
}

async fn serve(listener: TcpListener, answer: impl Fn(&str) -> Response<Body> + 'static) {
    let answer = Rc::new(answer);
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let answer = answer.clone();
        let service = service_fn(move |request: http::Request<Incoming>| {
            let response = answer(request.uri().path());
            async move { Ok::<_, Infallible>(response) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(IDLE)
            .serve_connection(TokioIo::new(stream), service);
        // Nothing depends on how a question ends.
        spawn_local(async move { drop(connection.await) });
    }
}

fn plain(status: StatusCode, text: &'static str) -> Response<Body> {
    let mut response = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response
}
