//! Counts finished requests for the leader's burn rates.
//!
//! Every call reports its end to a [`Reporter`]. The decision thread, which has the settings,
//! counts the reports and sends new counts to the leader. The reports have a channel of their own,
//! so that many refusals at once can't fill the decision thread's input channel.

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

/// Reports that may wait; further ones are counted as lost.
const REPORT_QUEUE_MAX: usize = 32_768;

/// Reports that one call of [`Objectives::process`] counts at most.
const REPORT_BATCH_MAX: usize = 1_024;

/// How a request ended.
#[derive(Clone, Debug)]
pub struct FinishedRequest {
    /// The model or plain service that it was for.
    pub target: Target,
    /// Milliseconds from its arrival to its deadline, if its caller set one.
    pub deadline_ms: Option<u64>,
    /// Its outcome, by its name in the logs.
    pub outcome: &'static str,
    /// Milliseconds from its arrival to its end.
    pub ms: u64,
    /// Milliseconds that it waited for a load of its model, if it did.
    pub cold_ms: Option<u64>,
    /// Milliseconds from its arrival to the first event of a streamed answer.
    pub first_token_ms: Option<u64>,
}

/// Sends reports of calls to [`Objectives`].
#[derive(Clone, Debug)]
pub struct Reporter {
    reports: Sender<FinishedRequest>,
    lost: Arc<AtomicU64>,
}

/// Counts the reports of calls.
pub struct Objectives {
    reports: Receiver<FinishedRequest>,
    lost: Arc<AtomicU64>,
    recorder: Recorder,
}

/// Creates both ends of the channel for reports.
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
    /// Reports how a request ended. If the channel is full, the report is dropped and counted as
    /// lost.
    pub fn report(&self, finished: FinishedRequest) {
        if self.reports.try_send(finished).is_err() {
            self.lost.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl Objectives {
    /// Counts the reports that wait, and sends new counts to the leader when that is due.
    pub fn process(&mut self, now: Millis, tree: &Tree, control: &dyn Control) {
        for _ in 0..REPORT_BATCH_MAX {
            let Ok(finished) = self.reports.try_recv() else {
                break;
            };
            self.count(now, tree, &finished);
        }
        self.recorder
            .add_dropped(self.lost.swap(0, Ordering::Relaxed));
        if let Some(delta) = self.recorder.delta(now) {
            control.objectives(delta);
        }
    }

    /// Applies the leader's acknowledgement of counts that it has merged.
    pub fn acknowledge(&mut self, ack: Ack) {
        self.recorder.acknowledge(ack);
    }

    /// Counts one request; one for a model or service that the settings don't name is ignored.
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
        // After a load, the time to the first token belongs to the cold start objective.
        let first_token_ms = finished
            .first_token_ms
            .filter(|_| finished.cold_ms.is_none());
        let sample = Sample::new(cause)
            .cold_ms(finished.cold_ms)
            .first_token_ms(first_token_ms);
        self.recorder.record(now, &key, &sample, &settings);
    }
}

/// The service and model under which a request is counted, and its adapter.
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

/// The cause for an outcome's name in the logs; `None` for an unknown name.
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
