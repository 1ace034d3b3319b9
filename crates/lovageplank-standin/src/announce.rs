//! Sends announcements and load reports to the first instance of a list that accepts them.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use attohttpc::Method;
use lovageplank_core::backend::{Announcement, AnnouncementReply, ServerReport};
use tokio_util::sync::CancellationToken;

use crate::client;

/// Delay in milliseconds until the next attempt after no instance accepted an announcement.
const RETRY_INTERVAL_MS: u64 = 200;

/// Timeout in milliseconds of one request to an instance; beyond it, the next instance is tried.
const SEND_TIMEOUT_MS: u64 = 1_000;

/// Interval in milliseconds at which the threads check the stop token.
const POLL_INTERVAL_MS: u64 = 20;

/// Provides the announcements and load reports of a backend server.
pub trait AnnouncementSource: Send + Sync + 'static {
    /// Returns the current announcement.
    fn announcement(&self) -> Announcement;

    /// Returns a load report with the next sequence number, or `None` if the backend server sends
    /// no reports.
    fn report(&self) -> Option<ServerReport>;

    /// Returns the time by which reports are delayed.
    fn report_lag(&self) -> Duration;

    /// Returns whether announcements and reports are suppressed.
    fn is_silent(&self) -> bool;
}

/// The results of the announcements so far.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Status {
    /// Number of announcements that an instance accepted.
    pub sent: u64,
    /// Number of failed requests; each instance that doesn't accept an announcement counts as one.
    pub failed: u64,
    /// The instance that accepted the last announcement.
    pub accepted_by: Option<String>,
    /// The reply to the last accepted announcement.
    pub reply: Option<AnnouncementReply>,
}

/// The threads that send announcements and reports until the stop token is cancelled.
pub struct Announcer {
    wake: flume::Sender<()>,
    status: Arc<Mutex<Status>>,
    stop: CancellationToken,
    threads: Vec<JoinHandle<()>>,
}

impl Announcer {
    /// Starts the threads, which send to the first instance of `to` that accepts; starts none if
    /// `to` is empty.
    pub fn start(
        source: Arc<impl AnnouncementSource>,
        to: Vec<String>,
        report_every: Duration,
        stop: CancellationToken,
    ) -> Announcer {
        let (wake, wake_requests) = flume::bounded(1);
        let status = Arc::new(Mutex::new(Status::default()));
        let mut threads = Vec::new();
        if !to.is_empty() {
            let heartbeat = HeartbeatSender {
                source: source.clone(),
                instances: InstanceList {
                    addresses: to.clone(),
                    preferred: 0,
                },
                status: status.clone(),
                stop: stop.clone(),
            };
            threads.push(std::thread::spawn(move || heartbeat.run(&wake_requests)));
            let instances = InstanceList {
                addresses: to,
                preferred: 0,
            };
            let report_stop = stop.clone();
            threads.push(std::thread::spawn(move || {
                send_reports(&*source, instances, report_every, &report_stop);
            }));
        }
        Announcer {
            wake,
            status,
            stop,
            threads,
        }
    }

    /// Returns a sender; a message on it triggers an announcement.
    pub fn waker(&self) -> flume::Sender<()> {
        self.wake.clone()
    }

    /// Returns the results of the announcements so far.
    pub fn status(&self) -> Status {
        lock(&self.status).clone()
    }
}

impl Drop for Announcer {
    fn drop(&mut self) {
        self.stop.cancel();
        for thread in self.threads.drain(..) {
            // If the thread panicked, the panic was already printed.
            let _ended = thread.join();
        }
    }
}

/// The loop that sends announcements.
struct HeartbeatSender<S> {
    source: Arc<S>,
    instances: InstanceList,
    status: Arc<Mutex<Status>>,
    stop: CancellationToken,
}

impl<S: AnnouncementSource> HeartbeatSender<S> {
    fn run(mut self, wake_requests: &flume::Receiver<()>) {
        while !self.stop.is_cancelled() {
            let wait = if self.source.is_silent() {
                Duration::from_millis(RETRY_INTERVAL_MS)
            } else {
                self.announce()
            };
            if !wait_until(Instant::now() + wait, wake_requests, &self.stop) {
                return;
            }
        }
    }

    /// Sends one announcement and returns the time until the next one.
    fn announce(&mut self) -> Duration {
        let body = self.source.announcement();
        let answer = self.instances.post("/v1/announce", &body, |text| {
            serde_json::from_str::<AnnouncementReply>(text).ok()
        });
        let mut status = lock(&self.status);
        status.failed += answer.failed;
        let Some((instance, reply)) = answer.accepted else {
            return Duration::from_millis(RETRY_INTERVAL_MS);
        };
        status.sent += 1;
        status.accepted_by = Some(instance);
        status.reply = Some(reply);
        Duration::from_millis(heartbeat_interval_ms(status.reply.as_ref()))
    }
}

fn heartbeat_interval_ms(reply: Option<&AnnouncementReply>) -> u64 {
    reply.map_or(RETRY_INTERVAL_MS, |reply| reply.heartbeat_ms.max(1))
}

/// Waits until `due` or until a wake-up is requested; returns false if stopped.
fn wait_until(due: Instant, wake_requests: &flume::Receiver<()>, stop: &CancellationToken) -> bool {
    while !stop.is_cancelled() {
        let left = due.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return true;
        }
        match wake_requests.recv_timeout(left.min(Duration::from_millis(POLL_INTERVAL_MS))) {
            Ok(()) => return true,
            Err(flume::RecvTimeoutError::Timeout) => {}
            // All wakers were dropped; wait without them.
            Err(flume::RecvTimeoutError::Disconnected) => {
                std::thread::sleep(left.min(Duration::from_millis(POLL_INTERVAL_MS)));
            }
        }
    }
    false
}

/// Creates a report every `every` and sends it when the source's report lag has passed.
fn send_reports(
    source: &impl AnnouncementSource,
    mut instances: InstanceList,
    every: Duration,
    stop: &CancellationToken,
) {
    let mut pending: VecDeque<(Instant, ServerReport)> = VecDeque::new();
    let mut due = Instant::now();
    while !stop.is_cancelled() {
        let now = Instant::now();
        if now >= due {
            due = now + every;
            pending.extend(source.report().map(|report| (now, report)));
        }
        let lag = source.report_lag();
        while pending.front().is_some_and(|(made, _)| now - *made >= lag) {
            if let Some((made, mut report)) = pending.pop_front() {
                report.age_ms = as_millis_u64(made.elapsed());
                if !source.is_silent() {
                    // A report that no instance accepts is dropped; a newer one follows.
                    let _answer = instances.post("/v1/report", &report, |_| Some(()));
                }
            }
        }
        std::thread::sleep(Duration::from_millis(POLL_INTERVAL_MS).min(every));
    }
}

fn as_millis_u64(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Addresses of instances; the one that accepted last is tried first.
struct InstanceList {
    addresses: Vec<String>,
    preferred: usize,
}

/// The result of posting to instances: which one accepted, with its reply, and how many failed.
struct PostOutcome<T> {
    accepted: Option<(String, T)>,
    failed: u64,
}

impl InstanceList {
    /// Posts to one instance after the other until one returns a reply that `parse` accepts.
    fn post<T>(
        &mut self,
        path: &str,
        body: &impl serde::Serialize,
        parse: impl Fn(&str) -> Option<T>,
    ) -> PostOutcome<T> {
        let mut failed = 0;
        for offset in 0..self.addresses.len() {
            let index = (self.preferred + offset) % self.addresses.len();
            let instance = &self.addresses[index];
            let answer = send(instance, path, body);
            if let Some(value) = answer.as_deref().and_then(&parse) {
                self.preferred = index;
                let accepted = Some((instance.clone(), value));
                return PostOutcome { accepted, failed };
            }
            failed += 1;
        }
        let accepted = None;
        PostOutcome { accepted, failed }
    }
}

/// Posts JSON and returns the body of the response, or `None` if the request didn't succeed.
fn send(instance: &str, path: &str, body: &impl serde::Serialize) -> Option<String> {
    let timeout = Duration::from_millis(SEND_TIMEOUT_MS);
    let request = client::request(Method::POST, instance, path, timeout).ok()?;
    let response = request.json(body).ok()?.send().ok()?;
    if !response.is_success() {
        return None;
    }
    response.text().ok()
}

fn lock(status: &Mutex<Status>) -> MutexGuard<'_, Status> {
    status.lock().unwrap_or_else(PoisonError::into_inner)
}
