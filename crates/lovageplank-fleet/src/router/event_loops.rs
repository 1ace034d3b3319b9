//! Event loops of a router: events of control links, load reports, and expiry of old state.

use super::{Shared, messages, quota, speed};
use crate::links::Dialer;
use lovageplank_core::fleet::message::Message;
use lovageplank_core::fleet::place::PROTOCOL;
use lovageplank_core::prelude::*;
use lovageplank_process::clock;
use lovageplank_process::link::{self, Link};
use lovageplank_wire::Frame;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::{Instant, MissedTickBehavior, sleep_until};

/// Milliseconds from a load report until the next regular one. A router without requests sends none.
const LOAD_REPORT_INTERVAL_MS: u64 = 250;
/// Milliseconds by which an urgent load report is delayed; also the least time between two urgent
/// reports. A report is urgent, for instance, when a request begins to wait.
const URGENT_REPORT_DELAY_MS: u64 = 4;
/// Milliseconds without totals or loaded models from the leader after which the leader counts as
/// unknown. Until then load reports are sent to that leader only, and afterwards to all control
/// processes.
const LEADER_TIMEOUT_MS: Millis = 700;
/// Milliseconds by which this process runs late from which on the log says so. Half a second after its caller has
/// left, nothing of a request may go on.
const BEHIND_MS: u64 = 250;
/// Milliseconds between two runs of the expiry.
const EXPIRE_INTERVAL_MS: u64 = 1_000;

/// Handles events of control links and new seeds, and sends control processes the load, the applied
/// version of the document and this router's directory entry.
pub(super) async fn control_links(
    shared: Arc<Shared>,
    events: flume::Receiver<link::Event>,
    mut dialer: Dialer,
    seeds: flume::Receiver<Vec<SocketAddr>>,
) {
    let mut links: BTreeMap<u64, Link> = BTreeMap::new();
    let mut sent_entry = shared.directory_entry();
    let mut leader = Leader::default();
    let mut reported_version = 0;
    let mut report_times = ReportTimes::new();
    loop {
        tokio::select! {
            event = events.recv_async() => match event {
                Ok(event) => {
                    let is_new = leader.observe(&event);
                    handle_event(&shared, &mut dialer, &mut links, event);
                    note_leader(&shared, &links, &leader, is_new);
                }
                Err(flume::RecvError::Disconnected) => return,
            },
            Ok(seeds) = seeds.recv_async() => dialer.set_seeds(seeds),
            () = shared.stopping.cancelled(), if sent_entry.ready => {}
            () = shared.leader_messages.notified() => send_leader_messages(&shared, &links, &leader),
            () = shared.urgent_report.notified(), if !report_times.is_urgent() => {
                report_times.hasten();
            }
            () = sleep_until(report_times.next()) => {
                if report_times.is_urgent() || shared.state().dispatcher.load_tracker().has_report() {
                    send_load_report(&shared, &links, &leader);
                }
                send_speed_report(&shared, &links, &leader);
                refresh_places(&shared);
                quota::refresh(&shared);
                report_times = ReportTimes::new();
            }
        }
        let version = shared.document_version();
        if version != reported_version {
            reported_version = version;
            for link in links.values() {
                link.send(Frame::Fleet(Box::new(Message::AppliedVersion(version))));
            }
        }
        let answers = std::mem::take(&mut shared.state().answers);
        for (link, answer) in answers {
            if let Some(link) = links.get(&link) {
                link.send(Frame::Fleet(Box::new(answer)));
            }
        }
        let entry = shared.directory_entry();
        if entry != sent_entry {
            sent_entry = entry;
            for link in links.values() {
                link.send(Frame::Fleet(Box::new(Message::Router(sent_entry.clone()))));
            }
        }
    }
}

/// When the next load report is due. Events that [`control_links`] handles meanwhile don't put it off.
struct ReportTimes {
    regular_at: Instant,
    /// If an urgent report is due.
    urgent_at: Option<Instant>,
}

impl ReportTimes {
    /// After a report.
    fn new() -> ReportTimes {
        ReportTimes {
            regular_at: Instant::now() + Duration::from_millis(LOAD_REPORT_INTERVAL_MS),
            urgent_at: None,
        }
    }

    fn hasten(&mut self) {
        self.urgent_at = Some(Instant::now() + Duration::from_millis(URGENT_REPORT_DELAY_MS));
    }

    fn is_urgent(&self) -> bool {
        self.urgent_at.is_some()
    }

    fn next(&self) -> Instant {
        self.urgent_at.unwrap_or(self.regular_at)
    }
}

/// The link on which the leader's last message arrived, and when.
#[derive(Default)]
struct Leader {
    last_received: Option<(u64, Millis)>,
}

impl Leader {
    /// Recognizes the leader by its messages. Returns whether it is another leader than before.
    fn observe(&mut self, event: &link::Event) -> bool {
        let link::Event::Frame { link, frame } = event else {
            return false;
        };
        let Frame::Fleet(message) = frame else {
            return false;
        };
        if !message.is_from_leader() {
            return false;
        }
        let before = self.last_received.replace((*link, clock::boottime_ms()));
        before.is_none_or(|(known, _)| known != *link)
    }

    /// The leader's link, if a message of the leader arrived on it within [`LEADER_TIMEOUT_MS`].
    fn link(&self) -> Option<u64> {
        let (link, at) = self.last_received?;
        (clock::boottime_ms() < at + LEADER_TIMEOUT_MS).then_some(link)
    }
}

/// Notes until when there is a leader that gives places. A new one is told what this router has at brittle servers.
fn note_leader(shared: &Shared, links: &BTreeMap<u64, Link>, leader: &Leader, is_new: bool) {
    let Some((link, at)) = leader.last_received else {
        return;
    };
    let gives_places = links.get(&link).is_some_and(|l| l.knows(PROTOCOL));
    let until = if gives_places {
        at + LEADER_TIMEOUT_MS
    } else {
        0
    };
    let mut state = shared.state();
    state.place_leader_until = until;
    if state.contact.heard(at) {
        tracing::info!(event = "leader_heard_again", link);
    }
    drop(state);
    if is_new {
        refresh_places(shared);
        quota::leader_changed(shared);
    }
}

/// Has this router's requests at brittle servers reported again.
fn refresh_places(shared: &Shared) {
    let mut state = shared.state();
    state.dispatcher.refresh_places(clock::boottime_ms());
    shared.notify_leader(&state);
}

/// Sends the load to the leader, or to all control processes while the leader isn't known. The load
/// is the requests in progress at each server, and the demand for each model and adapter: how many
/// requests have arrived since the previous report, and how many wait.
fn send_load_report(shared: &Shared, links: &BTreeMap<u64, Link>, leader: &Leader) {
    let now = clock::boottime_ms();
    metrics::counter!("lovageplank_entry_load_reports_total").increment(1);
    let (running, demand) = shared
        .state()
        .dispatcher
        .load_tracker()
        .take_load_report(now);
    send_to_leader(links, leader, &Message::LoadReport { running, demand });
}

/// Sends the leader what is new of the speed of servers.
fn send_speed_report(shared: &Shared, links: &BTreeMap<u64, Link>, leader: &Leader) {
    let now = clock::boottime_ms();
    let report = shared.state().dispatcher.take_speed_report(now);
    if let Some(report) = report {
        send_to_leader(links, leader, &report);
    }
}

/// Sends the leader requests for permits and trials, reports of servers' limits and ends, and questions
/// about streams. Sends all control processes records of streams and which servers have said that they leave,
/// so that any of them can lead later.
fn send_leader_messages(shared: &Shared, links: &BTreeMap<u64, Link>, leader: &Leader) {
    let now = clock::boottime_ms();
    let messages = {
        let mut state = shared.state();
        let mut messages = state.gate.take_messages();
        messages.extend(state.dispatcher.take_leader_messages(now));
        messages.extend(state.quotas.take_ask(now));
        messages
    };
    for message in &messages {
        send_to_leader(links, leader, message);
    }
    let records = shared.state().dispatcher.take_records();
    for message in records {
        for link in links.values() {
            link.send(Frame::Fleet(Box::new(message.clone())));
        }
    }
}

/// Sends a message to the leader, or to all control processes while the leader isn't known.
fn send_to_leader(links: &BTreeMap<u64, Link>, leader: &Leader, message: &Message) {
    let leader = leader.link().and_then(|link| links.get(&link));
    let receivers = links
        .values()
        .filter(|l| leader.is_none_or(|leader| leader.id == l.id));
    for link in receivers {
        link.send(Frame::Fleet(Box::new(message.clone())));
    }
}

fn handle_event(
    shared: &Arc<Shared>,
    dialer: &mut Dialer,
    links: &mut BTreeMap<u64, Link>,
    event: link::Event,
) {
    match event {
        link::Event::Up(link) => {
            tracing::info!(event = "control_up", instance = %link.peer.instance);
            link.send(Frame::Fleet(Box::new(Message::Router(
                shared.directory_entry(),
            ))));
            let version = shared.document_version();
            link.send(Frame::Fleet(Box::new(Message::AppliedVersion(version))));
            let (now, state) = (clock::boottime_ms(), shared.state());
            for record in state.dispatcher.all_records(now) {
                link.send(Frame::Fleet(Box::new(record)));
            }
            links.insert(link.id, link);
        }
        link::Event::Down { link, reason } => {
            tracing::warn!(event = "control_down", link, reason);
            links.remove(&link);
            dialer.disconnected(link);
            shared.state().directory.remove_link(link);
        }
        link::Event::Frame { link, frame } => match frame {
            Frame::Members(members) => {
                let addresses = members.iter().filter_map(|(_, a)| a.parse().ok());
                dialer.set_members(link, addresses.collect());
            }
            Frame::Fleet(message) => messages::handle(shared, link, *message),
            _ => {}
        },
    }
}

/// Periodically removes servers that are gone or silent from the dispatcher, with all that is known
/// of them, and refusals that have expired. Measures how many servers get no requests, how late this
/// process runs and how many callers it has.
pub(super) async fn expire(shared: Arc<Shared>) {
    let mut tick = tokio::time::interval(Duration::from_millis(EXPIRE_INTERVAL_MS));
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let due = tick.tick().await;
        record_lag(&shared, due.elapsed());
        shared.body_budget.record();
        let now = clock::boottime_ms();
        let deployment = shared.deployment();
        let mut state = shared.state();
        state.dispatcher.expire(now);
        let closed = deployment
            .as_ref()
            .map(|d| state.dispatcher.closed_servers(now, d));
        let brittle = state.dispatcher.brittle_counts(now);
        if let Some(deployment) = &deployment {
            speed::record_slowness(now, &state.dispatcher, deployment);
        }
        drop(state);
        for (service, count) in brittle {
            metrics::gauge!("lovageplank_entry_brittle_servers", "service" => service.to_string())
                .set(f64::from(count));
        }
        for (bar, count) in closed.unwrap_or_default() {
            metrics::gauge!("lovageplank_entry_closed_servers", "reason" => bar.name())
                .set(f64::from(count));
        }
    }
}

/// Records how late a timer ran, which is how long everything else that was due has waited, and how many
/// callers are connected.
#[expect(clippy::cast_precision_loss, reason = "a number of connections")]
fn record_lag(shared: &Shared, lag: Duration) {
    let callers = shared.connections.load(Ordering::Relaxed);
    metrics::gauge!("lovageplank_entry_callers").set(callers as f64);
    metrics::histogram!("lovageplank_entry_lag_seconds").record(lag);
    if lag >= Duration::from_millis(BEHIND_MS) {
        let late_ms = u64::try_from(lag.as_millis()).unwrap_or(u64::MAX);
        tracing::warn!(event = "behind", late_ms, callers);
    }
}
