//! Counts finished requests for the leader's burn rates.
//!
//! Every call reports its end to a [`Reporter`]; the decision thread, which knows the settings,
//! takes the reports, counts them and sends the leader what is new. The channel between them is
//! apart from the decision thread's inputs, so that a storm of refusals can't fill those.

use crate::control::Control;
use crate::decision::Target;
use crate::refusal::Code;
use flume::{Receiver, Sender};
use lovageplank_core::prelude::*;
use lovageplank_core::settings::Tree;
use lovageplank_core::slo::{Ack, Cause, Key, Recorder, Sample};
use serde::Deserialize;
use serde::de::IntoDeserializer;
use serde::de::value::{Error, StrDeserializer};
use std::sync::atomic::{AtomicU64, Ordering};

/// Reports that may wait.
const REPORT_QUEUE_MAX: usize = 32_768;

/// Reports that one turn takes at the most.
const REPORT_BATCH_MAX: usize = 1_024;

/// How a request ended.
#[derive(Clone, Debug)]
pub struct FinishedRequest {
    /// What it asked for.
    pub target: Target,
    /// Milliseconds within which its caller wanted an answer, if it said so.
    pub deadline_ms: Option<u64>,
    /// Its outcome as logs name it.
    pub outcome: &'static str,
    /// Milliseconds from its arrival to its end.
    pub ms: u64,
    /// Milliseconds that it waited for a load, if it did.
    pub cold_ms: Option<u64>,
    /// Milliseconds from its arrival to the first event of a streamed answer.
    pub first_token_ms: Option<u64>,
}

/// Takes reports from calls.
#[derive(Clone, Debug)]
pub struct Reporter {
    reports: Sender<FinishedRequest>,
    lost: Arc<AtomicU64>,
}

/// Counts what calls report.
pub struct Objectives {
    reports: Receiver<FinishedRequest>,
    lost: Arc<AtomicU64>,
    recorder: Recorder,
}

/// Makes both ends.
pub fn channel() -> (Reporter, Objectives) {
    let (sender, reports) = flume::bounded(REPORT_QUEUE_MAX);
    let lost = Arc::new(AtomicU64::new(0));
    let reporter = Reporter {
        reports: sender,
        lost: lost.clone(),
    };
    let objectives = Objectives {
        reports,
        lost,
        recorder: Recorder::default(),
    };
    (reporter, objectives)
}

impl Reporter {
    /// Reports how a request ended; one without room is only counted as lost.
    pub fn report(&self, finished: FinishedRequest) {
        if self.reports.try_send(finished).is_err() {
            self.lost.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl Objectives {
    /// Counts what was reported, and sends the leader what is new when that is due.
    pub fn process(&mut self, now: Millis, tree: &Tree, control: &dyn Control) {
        for _ in 0..REPORT_BATCH_MAX {
            let Ok(finished) = self.reports.try_recv() else {
                break;
            };
            self.count(now, tree, &finished);
        }
        self.recorder
            .drop_uncounted(self.lost.swap(0, Ordering::Relaxed));
        if let Some(delta) = self.recorder.delta(now) {
            control.objectives(delta);
        }
    }

    /// Notes how far the leader has merged the counts.
    pub fn acknowledge(&mut self, ack: Ack) {
        self.recorder.acknowledge(ack);
    }

    /// Requests for what the settings don't name belong to no objective.
    fn count(&mut self, now: Millis, tree: &Tree, finished: &FinishedRequest) {
        let Some((key, adapter)) = objective_key(tree, &finished.target) else {
            return;
        };
        let Some(cause) = outcome_cause(finished.outcome) else {
            tracing::error!(event = "outcome_unnamed", outcome = finished.outcome);
            return;
        };
        let model = Some(&*key.model).filter(|model| !model.is_empty());
        let settings = tree.effective(&key.service, model, adapter);
        let allowed_ms = finished.deadline_ms.unwrap_or(u64::MAX);
        let in_time = finished.ms <= allowed_ms.min(settings.deadline_ms);
        let cause = match cause {
            Cause::Answered | Cause::CallerGone if !in_time => Cause::Late,
            cause => cause,
        };
        // A first token after a load is the cold start's business.
        let first_token_ms = finished
            .first_token_ms
            .filter(|_| finished.cold_ms.is_none());
        let sample = Sample::new(cause)
            .cold_ms(finished.cold_ms)
            .first_token_ms(first_token_ms);
        self.recorder.record(now, &key, &sample, &settings);
    }
}

/// The service and model that a request counts for, and its adapter.
fn objective_key<'a>(tree: &Tree, target: &'a Target) -> Option<(Key, Option<&'a str>)> {
    match target {
        Target::Service(name) => {
            let (service, _) = tree.services.get_key_value(name)?;
            Some((Key::new(service.clone(), ""), None))
        }
        Target::Model { model, adapter, .. } => {
            let (service, _) = tree.model(model)?;
            let key = Key::new(service.clone(), model.clone());
            Some((key, adapter.as_deref()))
        }
    }
}

/// The cause that an outcome's name in the logs stands for.
fn outcome_cause(outcome: &'static str) -> Option<Cause> {
    match outcome {
        "answered" | "replayed" => Some(Cause::Answered),
        "caller_gone" => Some(Cause::CallerGone),
        name => {
            let name: StrDeserializer<Error> = name.into_deserializer();
            Code::deserialize(name).ok().map(refusal_cause)
        }
    }
}

fn refusal_cause(code: Code) -> Cause {
    match code {
        Code::QueueFull => Cause::QueueFull,
        Code::Late => Cause::DeadlineRefused,
        Code::NoCapacity => Cause::NoCapacity,
        Code::ConcurrencyLimit => Cause::ConcurrencyLimit,
        Code::LeaseLapsed => Cause::LeaseLapsed,
        Code::Overloaded => Cause::Overloaded,
        Code::ControlUnavailable => Cause::ControlUnavailable,
        Code::BackendUnreachable => Cause::BackendUnreachable,
        Code::BackendBroke => Cause::BackendBroke,
        Code::OutcomeUnknown => Cause::OutcomeUnknown,
        Code::Malformed
        | Code::Unauthorized
        | Code::Forbidden
        | Code::UnknownModel
        | Code::UnknownService
        | Code::UnknownPath
        | Code::ClaimInProgress
        | Code::KeyReused
        | Code::TooLarge
        | Code::TooSlow
        | Code::RateLimit => Cause::CallerFault,
    }
}
