//! Pattern: a group forms or changes while hundreds of routers connect, and its members know of it at
//! different times.

use lovageplank_core::fleet::addresses::Addresses;

/// Guards against routers that closed and opened a link again and again, since each list replaced the last one
/// (300 routers, 3 lists each, seen before traffic on the large deployment).
#[test]
fn an_outdated_list_closes_no_link_that_another_process_names() {
    let mut addresses = Addresses::default();
    addresses.named(1, vec!["a", "b", "c"]);
    addresses.named(2, vec!["a", "b", "c", "d"]);
    assert_eq!(addresses.all(), ["a", "b", "c", "d"]);
    addresses.named(3, vec!["a", "b", "c"]);
    assert_eq!(addresses.all(), ["a", "b", "c", "d"], "an older list");
}

#[test]
fn an_address_that_no_linked_process_names_is_given_up() {
    let mut addresses = Addresses::default();
    addresses.named(1, vec!["a", "b"]);
    addresses.named(2, vec!["a", "c"]);
    addresses.named(1, vec!["a", "c"]);
    assert_eq!(addresses.all(), ["a", "c"]);
}

#[test]
fn lists_of_lost_links_count_until_another_link_has_sent_one() {
    let mut addresses = Addresses::default();
    addresses.named(1, vec!["a", "b"]);
    addresses.disconnected(1);
    assert_eq!(addresses.all(), ["a", "b"], "no other list");
    addresses.named(2, vec!["a", "c"]);
    assert_eq!(addresses.all(), ["a", "c"]);
    addresses.disconnected(7);
    assert_eq!(addresses.all(), ["a", "c"], "a link that sent none");
}
