//! Announcements and load reports, sent to any of a list of instances.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use attohttpc::Method;
use lovageplank_core::backend::{Announcement, AnnouncementReply, ServerReport};
use tokio_util::sync::CancellationToken;

use crate::client;

/// Milliseconds until the next try when no instance took an announcement.
const RETRY_INTERVAL_MS: u64 = 200;

/// Milliseconds that one try may take.
const SEND_TIMEOUT_MS: u64 = 1_000;

/// Milliseconds between looks at the stop token.
const POLL_INTERVAL_MS: u64 = 20;

/// What is announced and reported.
pub trait AnnouncementSource: Send + Sync + 'static {
    /// Returns the announcement as of now.
    fn announcement(&self) -> Announcement;

    /// Returns a load report as of now, if this backend server makes any.
    fn report(&self) -> Option<ServerReport>;

    /// Returns how long reports are held back.
    fn report_lag(&self) -> Duration;

    /// Returns whether nothing may be sent.
    fn is_silent(&self) -> bool;
}

/// How announcing went so far.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Status {
    /// Announcements that an instance took.
    pub sent: u64,
    /// Tries that failed, one for each instance tried.
    pub failed: u64,
    /// The instance that took the last one.
    pub accepted_by: Option<String>,
    /// Its answer.
    pub reply: Option<AnnouncementReply>,
}

/// Threads that announce and report; they end when the stop token is cancelled.
pub struct Announcer {
    wake: flume::Sender<()>,
    status: Arc<Mutex<Status>>,
    stop: CancellationToken,
    threads: Vec<JoinHandle<()>>,
}

impl Announcer {
    /// Starts to announce to the first instance of `to` that answers.
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
            let until = stop.clone();
            threads.push(std::thread::spawn(move || {
                send_reports(&*source, instances, report_every, &until);
            }));
        }
        Announcer {
            wake,
            status,
            stop,
            threads,
        }
    }

    /// Returns a handle that makes the announcer announce at once.
    pub fn waker(&self) -> flume::Sender<()> {
        self.wake.clone()
    }

    /// Returns how announcing went so far.
    pub fn status(&self) -> Status {
        lock(&self.status).clone()
    }
}

impl Drop for Announcer {
    fn drop(&mut self) {
        self.stop.cancel();
        for thread in self.threads.drain(..) {
            // A panic was printed already.
            let _ended = thread.join();
        }
    }
}

/// The thread that announces.
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

    /// Announces once and returns when the next announcement is due.
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

/// Waits until the time comes or a wake-up; false when stopped.
fn wait_until(due: Instant, wake_requests: &flume::Receiver<()>, stop: &CancellationToken) -> bool {
    while !stop.is_cancelled() {
        let left = due.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return true;
        }
        match wake_requests.recv_timeout(left.min(Duration::from_millis(POLL_INTERVAL_MS))) {
            Ok(()) => return true,
            Err(flume::RecvTimeoutError::Timeout) => {}
            // Nobody is left to wake this thread, and it goes on without.
            Err(flume::RecvTimeoutError::Disconnected) => {
                std::thread::sleep(left.min(Duration::from_millis(POLL_INTERVAL_MS)));
            }
        }
    }
    false
}

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
                    // A report that nobody takes is lost; the next one says more.
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

/// Instances, of which the one that answered last is asked first.
struct InstanceList {
    addresses: Vec<String>,
    preferred: usize,
}

/// How posting to instances went.
struct PostOutcome<T> {
    accepted: Option<(String, T)>,
    failed: u64,
}

impl InstanceList {
    /// Posts to one instance after the other until one takes it.
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

/// Posts JSON and returns the body of a successful answer.
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
