//! What routers and the leader tell each other of the speed of servers.

use crate::speed::{INCARNATION, figures, pair, relayed, reported, statement};
use lovageplank_core::fleet::bundle::Bundle;
use lovageplank_core::fleet::message::Message;
use lovageplank_core::fleet::speed::{
    Collector, Lasting, MAX_AGE_MS, PROTOCOL, Pace, Relay, Report, Statement,
};

#[test]
fn a_router_reports_the_newest_figure_of_each_server_once() {
    let mut dispatcher = pair();
    dispatcher.load_stated(0, &"1".into(), INCARNATION, Some(figures(150)));
    dispatcher.load_stated(50, &"1".into(), INCARNATION, Some(figures(170)));
    dispatcher.events_paced(0, &"2".into(), INCARNATION, Some(&"a".into()), 40.0);
    // What others have heard isn't reported again.
    dispatcher.speeds_relayed(60, &relayed(vec![statement("2", 300, 0)]));
    let expected = reported(vec![statement("1", 170, 30)]);
    assert_eq!(
        dispatcher.take_speed_report(80),
        Some(Message::SpeedReport(expected))
    );
    assert_eq!(dispatcher.take_speed_report(80), None);
    let pace = Pace {
        server: "2".into(),
        incarnation: INCARNATION,
        percent: 100,
        samples: 1,
    };
    let expected = Report {
        statements: Vec::new(),
        paces: vec![pace],
    };
    assert_eq!(
        dispatcher.take_speed_report(2_000),
        Some(Message::SpeedReport(expected))
    );
    // Without a link they grow too old to be of use.
    dispatcher.load_stated(3_000, &"1".into(), INCARNATION, Some(figures(150)));
    assert_eq!(dispatcher.take_speed_report(3_000 + MAX_AGE_MS), None);
}

#[test]
fn the_leader_relays_what_differs_from_what_routers_assume() {
    let mut collector = Collector::default();
    collector.reported(
        1_000,
        &reported(vec![statement("1", 100, 0), statement("2", 180, 40)]),
    );
    let relay = collector.take_relay(1_100).expect("news");
    assert_eq!(relay.statements, [statement("2", 180, 140)]);
    assert_eq!(collector.take_relay(1_100), None);
    // Nearly the same again, a little later.
    collector.reported(1_100, &reported(vec![statement("2", 180, 90)]));
    assert_eq!(collector.take_relay(1_110), None);
    // The same again once routers give the first one less weight.
    collector.reported(1_150, &reported(vec![statement("2", 180, 0)]));
    let relay = collector.take_relay(1_150).expect("news");
    assert_eq!(relay.statements, [statement("2", 180, 0)]);
    // Much less, and then an older one that was on its way for longer.
    collector.reported(1_200, &reported(vec![statement("2", 90, 0)]));
    collector.reported(1_210, &reported(vec![statement("2", 400, 100)]));
    let relay = collector.take_relay(1_250).expect("news");
    assert_eq!(relay.statements, [statement("2", 90, 50)]);
    // One that is too old to be worth the bytes.
    collector.reported(9_000, &reported(vec![statement("1", 400, MAX_AGE_MS / 2)]));
    assert_eq!(collector.take_relay(9_000), None);
}

/// A new leader knows nothing, while routers still have what the last one told them.
#[test]
fn a_long_term_speed_is_relayed_once_it_is_known_and_when_it_changes() {
    let mut collector = Collector::default();
    let report = |n: u64| reported(vec![statement("1", 150, n % 2)]);
    for n in 0..10 {
        collector.reported(2_000 + n, &report(n));
    }
    let relay = collector.take_relay(2_100).unwrap_or_default();
    assert_eq!(relay.lasting, []);
    for n in 0..100 {
        collector.reported(4_000 + n, &report(n));
    }
    let relay = collector.take_relay(4_100).expect("news");
    let Some(Lasting {
        server,
        stated_percent,
        ..
    }) = relay.lasting.first()
    else {
        panic!("{relay:?}");
    };
    assert_eq!(&**server, "1");
    assert!((140..=150).contains(stated_percent), "{relay:?}");
    let relay = collector.take_relay(6_200).unwrap_or_default();
    assert_eq!(relay.lasting, []);
    // For routers that have started since.
    let relay = collector.take_relay(34_200).expect("it is repeated");
    assert_eq!(relay.lasting.len(), 1);
}

/// 140 engines of which each figure changes all the time: routers get no more than some of the changes.
#[test]
fn a_router_gets_few_bytes() {
    let mut collector = Collector::default();
    let mut bytes = 0;
    for tick in 0..50u64 {
        let now = 1_000 + tick * 200;
        let statements = (0..140u64).map(|n| Statement {
            server: format!("engine-{n}").into(),
            incarnation: 1_780_000_000_000 + n * 7_919,
            percent: u32::try_from(50 + (n * 37 + tick * 53) % 150).expect("small"),
            age_ms: n % 100,
        });
        collector.reported(now, &reported(statements.collect()));
        let relay = collector.take_relay(now).unwrap_or_default();
        assert!(relay.statements.len() <= 32, "{}", relay.statements.len());
        bytes += relay_bytes(relay);
    }
    let per_s = bytes / 10;
    println!("{per_s} bytes a second");
    assert!(per_s < 3_000, "{per_s} bytes a second of 7,000");
}

/// Bytes of a relay as it is sent to routers, compressed.
fn relay_bytes(relay: Relay) -> usize {
    let bundle = Bundle::new([&Message::ServerSpeeds(relay)], 0).expect("it can be encoded");
    let mut bytes = Vec::new();
    ciborium::into_writer(&bundle, &mut bytes).expect("it can be encoded");
    bytes.len()
}

#[test]
fn messages_about_speeds_have_a_protocol_version() {
    for message in [
        Message::SpeedReport(Report::default()),
        Message::ServerSpeeds(Relay::default()),
    ] {
        assert_eq!(message.protocol(), PROTOCOL, "{message:?}");
    }
}
