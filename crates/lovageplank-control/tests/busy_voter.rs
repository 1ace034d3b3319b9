//! What a leader's controller answers operators while its voter is silent, as it is while the disk is busy.

use flume::{Receiver, Sender};
use lovageplank_control::LeaderStatus;
use lovageplank_control::controller::{Config, Controller};
use lovageplank_control::http::Submission;
use lovageplank_control::voter::{Report, Request};
use lovageplank_core::consensus::{Entry, Id, Index, Payload, Role, Term};
use lovageplank_core::prelude::*;
use lovageplank_process::link::Event;
use lovageplank_wire::Answer;
use lovageplank_wire::call::{Call, OperatorRequest, RefusalCode};
use std::time::{Duration, Instant};
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;

const TERM: Term = Term(1);
/// Longer than the time for which what a voter has published counts.
const SILENCE: Duration = Duration::from_millis(400);

/// A controller that leads, with a voter that this test plays.
struct Leader {
    status: Arc<LeaderStatus>,
    calls: Sender<Submission>,
    stop: CancellationToken,
    _requests: Receiver<Request>,
    _links: Sender<Event>,
    _reports: Sender<Report>,
}

impl Leader {
    fn start() -> Leader {
        let status = Arc::new(LeaderStatus::default());
        let stop = CancellationToken::new();
        let (voter, requests) = flume::unbounded();
        let (report_sender, reports) = flume::unbounded();
        let (link_sender, links) = flume::unbounded();
        let (call_sender, calls) = flume::unbounded();
        let config = Config {
            id: Id(1),
            instance: "control-1".into(),
            voter,
            reports,
            links,
            calls,
            engine_requests: flume::unbounded().0,
            engine_responses: flume::unbounded().1,
            status: status.clone(),
            seed: 1,
            stop: stop.clone(),
        };
        let role = Report::Role {
            role: Role::Leader,
            term: TERM,
            leader: Some(Id(1)),
        };
        let entry = Entry {
            term: TERM,
            index: Index(1),
            payload: Payload::Noop,
        };
        for report in [Report::Restore(None), role, Report::Apply(entry)] {
            report_sender.send(report).expect("the controller receives");
        }
        std::thread::spawn(|| Controller::new(config).run());
        Leader {
            status,
            calls: call_sender,
            stop,
            _requests: requests,
            _links: link_sender,
            _reports: report_sender,
        }
    }

    fn ask(&self) -> oneshot::Receiver<Answer> {
        let (answer_sender, answer) = oneshot::channel();
        let submission = Submission {
            call: Call::Operator(OperatorRequest::Engines),
            answer_sender,
        };
        self.calls.send(submission).expect("the controller runs");
        answer
    }

    /// Waits until the controller leads and answers.
    fn wait_until_it_answers(&self) {
        loop {
            self.status.publish(TERM, true, true);
            if let Ok(Answer::Operator(_)) = self.ask().blocking_recv() {
                return;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

impl Drop for Leader {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

fn is_without_leader(answer: &Answer) -> bool {
    matches!(answer, Answer::Refused(refusal) if refusal.code == RefusalCode::NoLeader)
}

/// Guards against calls that are refused as "lost the quorum" because the leader's disk was busy for a moment.
#[test]
fn calls_wait_for_a_voter_whose_disk_is_busy() {
    let leader = Leader::start();
    leader.wait_until_it_answers();
    std::thread::sleep(SILENCE);
    let mut answer = leader.ask();
    std::thread::sleep(SILENCE);
    assert!(
        answer.try_recv().is_err(),
        "answered while the voter is silent"
    );
    let answer = loop {
        leader.status.publish(TERM, true, true);
        if let Ok(answer) = answer.try_recv() {
            break answer;
        }
        std::thread::sleep(Duration::from_millis(5));
    };
    assert!(matches!(answer, Answer::Operator(_)), "{answer:?}");
}

/// Guards against calls that are answered from a state that may be outdated, or wait though nothing can come of it.
#[test]
fn calls_are_refused_at_once_without_quorum_contact_and_in_another_term() {
    let leader = Leader::start();
    leader.wait_until_it_answers();
    for (term, leads, contact) in [
        (TERM, true, false),
        (TERM, false, false),
        (Term(2), true, true),
    ] {
        leader.status.publish(term, leads, contact);
        let asked_at = Instant::now();
        let answer = leader.ask().blocking_recv().expect("an answer");
        assert!(is_without_leader(&answer), "{answer:?}");
        let took = asked_at.elapsed();
        assert!(took < SILENCE, "{term:?} {leads} {contact}: {took:?}");
    }
}

/// Guards against calls that wait for a voter for good, and so get no answer in the time that callers have.
#[test]
fn calls_are_refused_if_the_voter_stays_silent() {
    let leader = Leader::start();
    leader.wait_until_it_answers();
    std::thread::sleep(SILENCE);
    let asked_at = Instant::now();
    let answer = leader.ask().blocking_recv().expect("an answer");
    assert!(is_without_leader(&answer), "{answer:?}");
    // A call that was forwarded to the leader is given up after 4 s.
    assert!(asked_at.elapsed() < Duration::from_secs(4));
}
