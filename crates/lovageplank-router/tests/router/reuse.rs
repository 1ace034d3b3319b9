//! Which answer counts as that to a request, on connections that have carried other requests.

use crate::backend::{Backend, Behavior};
use crate::client::{self, Answer};
use crate::control::{self, TestRouter};

/// Calls a plain service whose requests may run more than once.
fn call(test: &TestRouter, path: &str) -> Answer {
    client::send(test.router.address, "POST", path, &[], "sheet")
}

/// Guards against an answer that went to another caller: a plain service without ids repeated an
/// earlier answer where that to the next request was expected.
#[test]
fn a_repeated_answer_without_ids_does_not_answer_another_request() {
    let service = Backend::repeating(&[Behavior::AnswerWithoutIds; 2]);
    let test = control::start(&[&service]);
    for path in ["/svc/sheets/one", "/svc/sheets/two"] {
        let answer = call(&test, path);
        let own = path.strip_prefix("/svc/sheets").unwrap();
        assert_eq!((answer.status, answer.body.as_str()), (200, own));
    }
    assert_eq!(service.runs(), 2, "requests run at `service`");
}

/// Guards against a request that counted as not run although it ran: a plain service without ids
/// repeated the refusal of the attempt before.
#[test]
fn a_repeated_refusal_without_ids_does_not_refuse_the_next_attempt() {
    let service = Backend::repeating(&[Behavior::LeavingWithoutIds, Behavior::AnswerWithoutIds]);
    let test = control::start(&[&service]);
    let answer = call(&test, "/svc/sheets/one");
    assert_eq!((answer.status, answer.body.as_str()), (200, "/one"));
    assert_eq!(service.runs(), 1, "runs of the request at `service`");
}

/// Connections are still reused where answers repeat both ids.
#[test]
fn answers_with_both_ids_leave_their_connection_for_the_next_request() {
    let service = Backend::start(&[]);
    let test = control::start(&[&service]);
    for _ in 0..3 {
        assert_eq!(call(&test, "/svc/sheets/one").status, 200);
    }
    let connections = service.observed.lock().unwrap().connections;
    assert_eq!((service.runs(), connections), (3, 1));
}

/// Guards against a service's answer that never reaches the caller: it has no ids, unlike the
/// answers that left the connections to be reused.
#[test]
fn an_answer_without_ids_on_a_reused_connection_is_asked_for_again_on_a_new_one() {
    let script = [
        Behavior::Answer,
        Behavior::AnswerWithoutIds,
        Behavior::AnswerWithoutIds,
    ];
    let service = Backend::start(&script);
    let test = control::start(&[&service]);
    assert_eq!(call(&test, "/svc/sheets/one").status, 200);
    let answer = call(&test, "/svc/sheets/two");
    assert_eq!((answer.status, answer.body.as_str()), (200, "/two"));
    assert_eq!(service.runs(), 3, "requests run at `service`");
}
