//! Which entry instances there are, by what several control instances list.

use lovageplank_core::fleet::message::Entry;
use lovageplank_core::fleet::roster::Roster;

fn entry(name: &str, ready: bool) -> Entry {
    Entry {
        instance: name.into(),
        address: format!("{name}:1").into(),
        domain: "east".into(),
        ready,
    }
}

fn names(roster: &Roster) -> Vec<String> {
    let ready = roster.ready().into_iter();
    ready.map(|e| e.instance.to_string()).collect()
}

#[test]
fn changes_follow_a_whole_list() {
    let mut roster = Roster::default();
    assert_eq!(roster.instances(), 1);
    roster.listed(1, vec![entry("a", true), entry("b", false)]);
    assert_eq!(names(&roster), ["a"]);
    roster.changed(1, entry("b", true));
    roster.changed(1, entry("c", true));
    assert_eq!(names(&roster), ["a", "b", "c"]);
    assert_eq!(roster.instances(), 3);
    roster.left(1, "a");
    assert_eq!(names(&roster), ["b", "c"]);
    roster.changed(1, entry("b", false));
    assert_eq!(names(&roster), ["c"]);
}

#[test]
fn an_instance_counts_once_and_stays_while_one_link_lists_it() {
    let mut roster = Roster::default();
    roster.listed(1, vec![entry("a", true), entry("b", true)]);
    roster.listed(2, vec![entry("a", true)]);
    assert_eq!(roster.instances(), 2);
    roster.left(1, "a");
    assert_eq!(names(&roster), ["a", "b"]);
    roster.left(2, "a");
    assert_eq!(names(&roster), ["b"]);
    roster.listed(2, vec![entry("d", true)]);
    roster.forget(2);
    assert_eq!(names(&roster), ["b"]);
}

/// Pattern: all links are down for a moment; callers still ask for addresses.
#[test]
fn the_last_instances_are_told_while_none_is_listed() {
    let mut roster = Roster::default();
    roster.listed(1, vec![entry("a", true), entry("b", true)]);
    roster.forget(1);
    assert_eq!(names(&roster), ["a", "b"]);
    assert_eq!(roster.instances(), 2);
    roster.listed(2, vec![entry("b", false)]);
    assert_eq!(names(&roster), ["a", "b"]);
    roster.changed(2, entry("c", true));
    assert_eq!(names(&roster), ["c"]);
}
