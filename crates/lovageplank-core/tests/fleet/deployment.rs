//! Routing, and validation of documents.

use crate::samples::{LIMITS, route, services};
use lovageplank_core::fleet::deployment::{Deployment, Invalid, RequestKind, Route, Share};
use lovageplank_core::prelude::*;

fn share(service: &str, weight: u64) -> Share {
    Share {
        service: service.into(),
        weight,
    }
}

fn build(routes: Vec<Route>) -> Result<Deployment, Invalid> {
    Deployment::new(1, routes, services(&["m"]), LIMITS)
}

#[test]
fn the_route_with_the_longest_prefix_is_used() {
    let deployment = build(vec![
        route("short", "a.example", "/x/"),
        route("long", "a.example", "/x/y/"),
        route("other", "b.example", "/x/y/"),
    ])
    .expect("valid");
    // (host, path, route)
    let cases = [
        ("a.example", "/x/1", Some("short")),
        ("a.example", "/x/y/1", Some("long")),
        ("A.Example:8080", "/x/y/", Some("long")),
        ("b.example", "/x/y/z", Some("other")),
        ("b.example", "/x/1", None),
        ("a.example", "/x", None),
        ("a.example", "/", None),
        ("c.example", "/x/", None),
    ];
    for (host, path, name) in cases {
        let found = deployment.route(host, path).map(|r| &*r.name);
        assert_eq!(found, name, "{host} {path}");
    }
}

#[test]
fn invalid_documents_are_rejected() {
    let with = |change: fn(&mut Route)| {
        let mut route = route("r", "a.example", "/x/");
        change(&mut route);
        build(vec![route])
    };
    let name = || Name::from("r");
    let cases = [
        (
            with(|r| r.shares = vec![share("nobody", 1)]),
            Invalid::UnknownService("nobody".into()),
        ),
        (
            with(|r| r.shares = vec![share("drafting", 0), share("desk", 0)]),
            Invalid::NoWeight(name()),
        ),
        (with(|r| r.shares = Vec::new()), Invalid::NoWeight(name())),
        (with(|r| r.timeout_ms = 0), Invalid::NoTimeout(name())),
        (with(|r| r.prefix = "/x".into()), Invalid::BadPrefix(name())),
        (with(|r| r.prefix = "x/".into()), Invalid::BadPrefix(name())),
        (
            build(vec![
                route("r", "a.example", "/x/"),
                route("s", "a.example", "/x/"),
            ]),
            Invalid::DuplicateRoute("a.example".into(), "/x/".into()),
        ),
    ];
    for (built, invalid) in cases {
        assert_eq!(built.expect_err("invalid"), invalid);
    }
}

#[test]
fn shares_get_requests_by_weight() {
    let split = Route {
        shares: vec![share("drafting", 90), share("desk", 0), share("other", 10)],
        ..route("r", "a.example", "/x/")
    };
    let draws = (0..1_000u64).map(|draw| split.service(draw).clone());
    let mut counts: BTreeMap<Name, u32> = BTreeMap::new();
    for service in draws {
        *counts.entry(service).or_default() += 1;
    }
    assert_eq!(counts.get("drafting"), Some(&900));
    assert_eq!(counts.get("other"), Some(&100));
    assert_eq!(counts.get("desk"), None);
}

#[test]
fn only_safe_and_resumable_requests_may_run_again() {
    let repeatable = |kind| {
        Route {
            kind,
            ..route("r", "a", "/")
        }
        .repeatable()
    };
    let kinds = [
        RequestKind::Safe,
        RequestKind::Unsafe,
        RequestKind::Stream,
        RequestKind::Resumable,
    ];
    assert_eq!(kinds.map(repeatable), [true, false, false, true]);
}
