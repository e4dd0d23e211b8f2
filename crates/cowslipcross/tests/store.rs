//! The platform duty notes outages once, and counts calls.

use {
    cowslip_decide::names::Incarnation,
    cowslip_settings::{overrides::Overrides, process},
    cowslip_standins::platform::{Faults, serve},
    cowslipcross::{
        context::Context,
        events::{Events, Origin},
        ring::{Offer, Ring, ring},
        store::{self, ask::Ask},
    },
    std::sync::Arc,
    tokio::{net::TcpListener, sync::oneshot},
};

fn context(platform: &str) -> Arc<Context> {
    let text = format!(
        "name = \"entry-1\"\ndata_centre = \"hk-1\"\ndeployment = \"d\"\ntoken = \"a-long-token\"\n\
         [listen]\ncallers = \"127.0.0.1:0\"\npeers = \"127.0.0.1:0\"\noperators = \"127.0.0.1:0\"\n\
         [platform]\ntable = \"http://{platform}\"\nobjects = \"http://{platform}\"\n\
         instances = \"http://{platform}\"\n"
    );
    let settings = process::parse(&text, "test", &Overrides::default()).expect("settings");
    let origin = Origin {
        process: "entry-1".into(),
        data_centre: "hk-1".into(),
        incarnation: Incarnation(1),
    };
    Arc::new(Context::new(
        settings,
        Incarnation(1),
        Events::new(origin, 100, None),
    ))
}

async fn get(asks: &Ring<Ask>) -> bool {
    let (reply, row) = oneshot::channel();
    let (pk, sk) = ("config".into(), "-".into());
    assert!(matches!(
        asks.offer(Ask::Get { pk, sk, reply }),
        Offer::Taken
    ));
    row.await.expect("an end").is_ok()
}

#[tokio::test]
async fn an_outage_of_the_table_is_noted_once_and_its_end_too() {
    let handle = serve(TcpListener::bind("127.0.0.1:0").await.expect("a port")).expect("stand-in");
    let context = context(&handle.address().to_string());
    let (asks, taken) = ring(16);
    tokio::spawn(store::serve(context.clone(), taken));
    for (down, calls) in [(false, 2), (true, 3), (false, 1), (true, 1)] {
        handle.set_faults(Faults {
            down,
            ..Faults::default()
        });
        for _ in 0..calls {
            assert_eq!(get(&asks).await, !down);
        }
    }
    let page = context.events.page(0);
    let codes: Vec<_> = page
        .events
        .iter()
        .map(|event| event.code.as_str())
        .collect();
    assert_eq!(codes, ["CC0301", "CC0302", "CC0301"]);
    let text = String::from_utf8(context.metrics.text()).expect("text");
    let line = |end: &str| format!("platform_calls_total{{call=\"table\",end=\"{end}\"}} ");
    assert!(text.contains(&(line("ok") + "3")), "{text}");
    assert!(
        text.contains(&line("unknown")) || text.contains(&line("not-sent")),
        "{text}"
    );
}
