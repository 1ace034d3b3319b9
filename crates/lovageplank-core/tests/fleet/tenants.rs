//! Whom requests come from, how urgent they are, and whether a router may rely on the keys that it knows.

use crate::samples::{LIMITS, route, services};
use lovageplank_core::fleet::deployment::{Deployment, Route};
use lovageplank_core::fleet::request::Rank;
use lovageplank_core::fleet::revocation::Contact;
use lovageplank_core::fleet::tenant::{
    Credential, LABELS_MAX, Labels, Sender, SharedKey, Tenant, Tenants, Unauthorized,
};
use lovageplank_core::fleet::urgency::LEVELS;
use lovageplank_core::prelude::*;

fn tenant(name: &str, priority: Option<u32>) -> Tenant {
    Tenant {
        name: name.into(),
        priority,
        quota: None,
    }
}

/// Tenants with a key each: the name with `k-` before it.
fn tenants(of: &[(&str, Option<u32>)]) -> Tenants {
    let with_key =
        |(name, priority): &(&str, _)| (tenant(name, *priority), vec![format!("k-{name}").into()]);
    Tenants::new(of.iter().map(with_key).collect()).expect("valid")
}

fn deployment(tenants: Tenants, priorities: &[u32]) -> Deployment {
    let routes = priorities.iter().map(|priority| Route {
        priority: *priority,
        ..route("r", "a.example", &format!("/{priority}/"))
    });
    Deployment::new(1, routes.collect(), services(&["m"]), LIMITS)
        .expect("valid")
        .with_tenants(tenants)
}

/// Guards against requests that are let in with the key of nobody, and public routes that need one.
#[test]
fn a_key_identifies_its_tenant() {
    let known = tenants(&[("ada", None), ("bo", None)]);
    let name = |credential, is_public| {
        let sender = known.identify(credential, is_public)?;
        assert_ne!(sender, Sender::Unchecked);
        Ok(sender.tenant().map(|tenant| tenant.name.to_string()))
    };
    let ada = || Some("ada".to_owned());
    assert_eq!(name(Credential::Key("k-ada"), false), Ok(ada()));
    assert_eq!(name(Credential::Key("k-ada"), true), Ok(ada()));
    // (credential, the reason on a route that isn't public)
    let cases = [
        (Credential::Missing, Unauthorized::Missing),
        (Credential::Unreadable, Unauthorized::Unreadable),
        (Credential::Key("k-ad"), Unauthorized::Unknown),
        (Credential::Key("K-ada"), Unauthorized::Unknown),
        (Credential::Key("ada"), Unauthorized::Unknown),
    ];
    for (credential, reason) in cases {
        assert_eq!(name(credential, false), Err(reason));
        assert_eq!(name(credential, true), Ok(None));
        assert_eq!(
            Tenants::default().identify(credential, false),
            Ok(Sender::Unchecked)
        );
    }
}

/// Guards against a key that counts as one tenant's or the other's by chance, and an error that tells it.
#[test]
fn a_key_belongs_to_one_tenant() {
    let with_keys = |keys: &[&str], other_keys: &[&str]| {
        let names = |keys: &[&str]| keys.iter().map(|key| Name::from(*key)).collect();
        let (ada, bo) = (tenant("ada", None), tenant("bo", None));
        Tenants::new(vec![(ada, names(keys)), (bo, names(other_keys))])
    };
    let shared = with_keys(&["k1", "k2"], &["k3", "k2"]).expect_err("k2 is shared");
    assert_eq!(shared, SharedKey("ada".into(), "bo".into()));
    let known = with_keys(&["k1", "k1"], &["k2"]).expect("a key that is repeated is no shared one");
    let text = format!("{known:?}");
    assert!(text.contains("ada") && !text.contains("k1"), "{text}");
}

/// Guards against engines that serve a less urgent tenant first because its route is more urgent, and against levels
/// that engines don't tell.
#[test]
fn levels_follow_the_tenant_and_then_the_route() {
    let few = deployment(tenants(&[("ada", Some(2)), ("bo", None)]), &[7, 1, 30]);
    let level = |tenant, route| few.urgency(Rank { tenant, route });
    let levels = [
        level(0, 1),
        level(0, 7),
        level(0, 30),
        level(2, 1),
        level(2, 7),
        level(2, 30),
    ];
    assert_eq!(levels, [0, 1, 2, 3, 4, 5]);

    let names: Vec<String> = (0..7).map(|number| format!("t{number}")).collect();
    let many = (0..).zip(&names).map(|(p, name)| (&**name, Some(p)));
    let many = deployment(tenants(&many.collect::<Vec<_>>()), &[0, 1, 2, 3]);
    let ranks = (0..7).flat_map(|tenant| (0..4).map(move |route| Rank { tenant, route }));
    let levels: Vec<u32> = ranks.map(|rank| many.urgency(rank)).collect();
    assert!(levels.is_sorted(), "{levels:?}");
    let distinct: BTreeSet<u32> = levels.iter().copied().collect();
    assert_eq!(distinct, (0..LEVELS).collect(), "{levels:?}");
}

#[test]
fn exactly_ten_ranks_have_a_level_each_and_strange_ones_have_the_nearest() {
    let ten = deployment(
        tenants(&[("ada", Some(1)), ("bo", Some(2))]),
        &[0, 1, 2, 3, 4],
    );
    let ranks = (1..=2).flat_map(|tenant| (0..5).map(move |route| Rank { tenant, route }));
    let levels: Vec<u32> = ranks.map(|rank| ten.urgency(rank)).collect();
    assert_eq!(levels, (0..10).collect::<Vec<_>>());
    // No tenant, on a public route; and a rank of an earlier document.
    assert_eq!(
        ten.urgency(Rank {
            tenant: 0,
            route: 4
        }),
        0
    );
    assert_eq!(
        ten.urgency(Rank {
            tenant: 9,
            route: 0
        }),
        9
    );
}

/// Guards against a change of what engines are told at deployments without tenants.
#[test]
fn without_tenants_the_level_is_the_priority_of_the_route() {
    let plain = deployment(Tenants::default(), &[0, 4, 40]);
    let level = |route| plain.urgency(Rank { tenant: 0, route });
    assert_eq!([level(0), level(4), level(9), level(40)], [0, 4, 9, 9]);
}

#[test]
fn a_tenant_without_priority_ranks_as_the_most_urgent() {
    let route = Route {
        priority: 3,
        ..route("r", "a.example", "/x/")
    };
    let rank = |tenant: u32| Rank { tenant, route: 3 };
    assert_eq!(route.rank(None), rank(0));
    assert_eq!(route.rank(Some(&tenant("ada", None))), rank(0));
    assert_eq!(route.rank(Some(&tenant("bo", Some(5)))), rank(5));
}

/// Guards against metrics that grow without a bound, at a document with many tenants or with others in each version.
#[test]
fn labels_are_bounded() {
    let mut labels = Labels::default();
    let mut seen = BTreeSet::new();
    for version in 0..20 {
        let names: Vec<String> = (0..100).map(|n| format!("t{version}-{n}")).collect();
        let list: Vec<(&str, Option<u32>)> = names.iter().map(|name| (&**name, None)).collect();
        labels.update(&tenants(&list));
        let has_own = |name: &&String| labels.of(name) == **name;
        if version == 0 {
            assert_eq!(names.iter().filter(has_own).count(), LABELS_MAX);
            assert_eq!(labels.of(&names[LABELS_MAX - 1]), names[LABELS_MAX - 1]);
            assert_eq!(labels.of(&names[LABELS_MAX]), "other");
        }
        seen.extend(names.iter().map(|name| labels.of(name).to_owned()));
    }
    assert!(seen.len() <= 4 * LABELS_MAX + 1, "{} labels", seen.len());
    assert_eq!(
        labels.of("t0-0"),
        "other",
        "it is no longer in the document"
    );
}

/// Guards against a router that lets a revoked key in while it is cut off from the leader, at once after the cut
/// because the first message came before the document, or since a former leader has sent one more message.
#[test]
fn keys_are_relied_on_while_a_leader_is_heard() {
    let mut contact = Contact::new(Some(4_500));
    assert!(!contact.is_current(10_000), "no leader was heard yet");
    assert!(!contact.heard(10_000));
    assert!(contact.is_current(10_000));
    assert!(contact.is_current(14_499));
    assert!(!contact.is_current(14_500));
    assert!(contact.heard(20_000), "the silence is over");
    assert!(!contact.is_current(20_000), "a document may be under way");
    assert!(!contact.heard(20_200));
    assert!(!contact.is_current(20_200));
    assert!(!contact.is_current(20_300), "nothing came for long enough");
    assert!(!contact.heard(20_250));
    assert!(contact.is_current(20_250));
    assert!(!contact.heard(24_000));
    assert!(contact.is_current(24_000));
}

#[test]
fn without_a_limit_keys_are_always_relied_on() {
    let mut contact = Contact::new(None);
    assert!(contact.is_current(10_000));
    assert!(!contact.heard(10_000));
    assert!(!contact.heard(9_000_000));
    assert!(contact.is_current(90_000_000));
}
