//! Stand-ins for routers and engines. They use the real protocol and make no decisions.

use super::process::KEY;
use eyre::{Result, WrapErr, bail, eyre};
use lovageplank_core::backend::{
    Accelerator, Announcement, CachedWeights, Kind, ServerReport, State,
};
use lovageplank_core::demand::{DemandReport, ModelDemand};
use lovageplank_core::settings::Version;
use lovageplank_core::view::Update;
use lovageplank_process::link::{self, Event, Events, Link};
use lovageplank_wire::hello::LinkKey;
use lovageplank_wire::{Call, Frame, Heartbeat, Hello, Role, codec};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::runtime::Runtime;
use tokio_util::sync::CancellationToken;

/// Milliseconds between heartbeats of a router; must divide [`ANNOUNCE_INTERVAL_MS`], because
/// announcements are sent along with heartbeats.
const HEARTBEAT_INTERVAL_MS: u64 = 500;

/// Milliseconds between announcements, each with a report, of an engine.
const ANNOUNCE_INTERVAL_MS: u64 = 1_000;

/// All stand-ins; dropping it stops them.
pub struct Fleet {
    counters: Vec<Arc<Counters>>,
    stop: CancellationToken,
    _runtime: Runtime,
}

#[derive(Default)]
struct Counters {
    sent: AtomicU64,
    received: AtomicU64,
    announced: AtomicU64,
    version: AtomicU64,
    first_update: AtomicU64,
}

/// Encoded bytes, summed over all routers.
pub struct Bytes {
    /// Heartbeats sent to all control processes.
    pub sent: u64,
    /// Frames received from control processes, such as leases and updates.
    pub received: u64,
    /// Engines' announcements and reports relayed to the leader.
    pub announced: u64,
}

impl Bytes {
    /// The bytes since an earlier reading.
    pub fn since(&self, before: &Bytes) -> Bytes {
        Bytes {
            sent: self.sent - before.sent,
            received: self.received - before.received,
            announced: self.announced - before.announced,
        }
    }
}

impl Fleet {
    /// Starts routers that dial the control processes at `links`. Each relays the announcements of
    /// an equal share of the engines and reports demand for `active` models.
    pub fn start(
        routers: usize,
        engines: usize,
        active: usize,
        links: &[SocketAddr],
    ) -> Result<Fleet> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(4)
            .enable_all()
            .build()
            .wrap_err("start the runtime")?;
        let stop = CancellationToken::new();
        let key =
            LinkKey::new(KEY.as_bytes()).ok_or_else(|| eyre!("KEY isn't a valid link key"))?;
        let mut counters = Vec::new();
        for n in 0..routers {
            let own_engines = (n..engines).step_by(routers).collect();
            let counter = Arc::new(Counters::default());
            counters.push(counter.clone());
            let (sender, events) = flume::bounded(1_024);
            let address = format!("127.0.0.1:{}", 20_000 + n);
            let name = format!("router-{n}");
            let hello = Hello {
                incarnation: 1,
                ..link::hello(name.into(), Role::Router, "domain-0".into(), address.into())
            };
            let config = link::Config {
                hello,
                key: key.clone(),
                events: Events::single(sender),
                egress: None,
                stop: stop.clone(),
            };
            for link in links {
                runtime.spawn(link::dial(*link, config.clone()));
            }
            runtime.spawn(Router::new(counter, own_engines, active).run(events, stop.clone()));
        }
        Ok(Fleet {
            counters,
            stop,
            _runtime: runtime,
        })
    }

    /// Waits until every router has applied a version; fails after `limit`.
    pub fn wait_version(&self, version: Version, limit: Duration) -> Result<()> {
        let began = Instant::now();
        let behind = |c: &Arc<Counters>| c.version.load(Ordering::Relaxed) < version.0;
        while self.counters.iter().any(behind) {
            if began.elapsed() > limit {
                bail!(
                    "version {} is not applied everywhere after {limit:?}",
                    version.0
                );
            }
            std::thread::sleep(Duration::from_micros(200));
        }
        Ok(())
    }

    /// The bytes so far.
    pub fn bytes(&self) -> Bytes {
        let sum = |of: fn(&Counters) -> &AtomicU64| {
            self.counters
                .iter()
                .map(|c| of(c).load(Ordering::Relaxed))
                .sum()
        };
        Bytes {
            sent: sum(|c| &c.sent),
            received: sum(|c| &c.received),
            announced: sum(|c| &c.announced),
        }
    }

    /// Bytes of the last full update that the first router received; 0 if there was none.
    pub fn first_update_bytes(&self) -> u64 {
        self.counters
            .first()
            .map_or(0, |c| c.first_update.load(Ordering::Relaxed))
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

/// A stand-in router. Of the view it keeps only the sequence and tree version that heartbeats
/// acknowledge.
struct Router {
    counters: Arc<Counters>,
    engines: Vec<usize>,
    active: usize,
    links: BTreeMap<u64, Link>,
    leader: Option<u64>,
    heartbeats: u64,
    calls: u64,
    tree: Version,
    view: u64,
}

impl Router {
    fn new(counters: Arc<Counters>, engines: Vec<usize>, active: usize) -> Router {
        Router {
            counters,
            engines,
            active,
            links: BTreeMap::new(),
            leader: None,
            heartbeats: 0,
            calls: 0,
            tree: Version(0),
            view: 0,
        }
    }

    async fn run(mut self, events: flume::Receiver<Event>, stop: CancellationToken) {
        let mut heartbeat_timer =
            tokio::time::interval(Duration::from_millis(HEARTBEAT_INTERVAL_MS));
        while !stop.is_cancelled() {
            tokio::select! {
                _ = heartbeat_timer.tick() => self.send_heartbeats(),
                event = events.recv_async() => match event {
                    Ok(event) => self.handle(event),
                    Err(_) => return,
                },
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Up(link) => drop(self.links.insert(link.id, link)),
            Event::Down { link, .. } => drop(self.links.remove(&link)),
            Event::Frame { link, frame } => {
                self.counters
                    .received
                    .fetch_add(encoded_len(&frame), Ordering::Relaxed);
                match frame {
                    Frame::Lease(lease) if lease.leads => self.leader = Some(link),
                    Frame::Update(update) => self.apply(&update),
                    _ => {}
                }
            }
        }
    }

    fn apply(&mut self, update: &Update) {
        if update.full {
            let bytes = encoded_len(&Frame::Update(Box::new(update.clone())));
            self.counters.first_update.store(bytes, Ordering::Relaxed);
        }
        self.view = update.sequence;
        let full_version = update.tree.as_ref().map(|(version, _)| *version);
        let edited_version = update.tree_edits.as_ref().map(|edits| edits.to);
        if let Some(version) = full_version.or(edited_version) {
            self.tree = self.tree.max(version);
            self.counters.version.store(self.tree.0, Ordering::Relaxed);
        }
    }

    fn send_heartbeats(&mut self) {
        self.heartbeats += 1;
        let demand = |m: usize| ModelDemand {
            running: 2,
            arrivals: 1,
            ..ModelDemand::new(format!("model-{m}"))
        };
        let heartbeat = Heartbeat {
            sequence: self.heartbeats,
            tree: self.tree,
            view: self.view,
            leaving: false,
            busy: Vec::new(),
            demand: DemandReport {
                models: (0..self.active).map(demand).collect(),
            },
        };
        for link in self.links.values() {
            let frame = Frame::Heartbeat(heartbeat.clone());
            self.counters
                .sent
                .fetch_add(encoded_len(&frame), Ordering::Relaxed);
            link.send(frame);
        }
        if self
            .heartbeats
            .is_multiple_of(ANNOUNCE_INTERVAL_MS / HEARTBEAT_INTERVAL_MS)
        {
            self.announce();
        }
    }

    fn announce(&mut self) {
        let Some(link) = self.leader.and_then(|id| self.links.get(&id)) else {
            return;
        };
        for engine in &self.engines {
            for call in [
                Call::Announce(announcement(*engine)),
                Call::Report(report(*engine, self.heartbeats)),
            ] {
                self.calls += 1;
                let frame = Frame::Call {
                    id: self.calls,
                    call,
                };
                self.counters
                    .announced
                    .fetch_add(encoded_len(&frame), Ordering::Relaxed);
                link.send(frame);
            }
        }
    }
}

/// Bytes of an encoded frame.
fn encoded_len(frame: &Frame) -> u64 {
    codec::encode(frame).map_or(0, |bytes| bytes.len() as u64)
}

fn announcement(n: usize) -> Announcement {
    Announcement {
        id: format!("engine-{n}").into(),
        incarnation: 1,
        address: format!("127.0.0.1:{}", 30_000 + n).into(),
        kind: Kind::Engine,
        failure_domain: format!("domain-{}", n % 6).into(),
        services: ["drafting".into()].into(),
        accelerators: vec![Accelerator { memory_mb: 80_000 }; 2],
        fencing: true,
        loaded: Vec::new(),
        cached: CachedWeights::default(),
        state: State::Ready,
        running: 0,
    }
}

fn report(n: usize, heartbeats: u64) -> ServerReport {
    ServerReport {
        id: format!("engine-{n}").into(),
        incarnation: 1,
        sequence: heartbeats,
        age_ms: 0,
        running: running_requests(n, heartbeats),
        queued: 0,
        kv_used: 0.5,
        cache: Vec::new(),
    }
}

/// Requests running on engine `n`: a triangle wave from 0 to 16 that changes by at most one per
/// report. Its phase depends only on `n`, so every run has the same values.
fn running_requests(n: usize, heartbeats: u64) -> u32 {
    let phase = (n as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 58;
    let step = (heartbeats / 2 + phase) % 32;
    u32::try_from(step.min(32 - step)).unwrap_or(0)
}
