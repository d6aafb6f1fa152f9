use super::*;
use crate::coordination::{Input, Output};
use crate::protocol::state::{Item, Page};

/// The age of records read in pages counts from the request for the first page. Counting from the
/// last page made the controller notice cancellations too late that were made during the read.
#[test]
fn records_read_in_pages_are_as_old_as_the_first_page() {
    let mut core = crate::coordination::tests::core();
    let read = |core: &mut Core, at: u64| {
        let outputs = core.handle(MonotonicTime(at), 0, Input::Tick);
        outputs.into_iter().find_map(|o| match o {
            Output::Store(id, StoreRequest::List { .. }) => Some(id),
            _ => None,
        })
    };
    let mut id = read(&mut core, 1000).expect("the first page is requested");
    for (at, more) in [(2400, true), (3800, false)] {
        let item = Item { key: format!("t/x/{at}"), value: serde_json::Value::Null, version: Revision(3) };
        let page = Page { items: vec![item], truncated: more, revision: Revision(at) };
        let outputs = core.handle(MonotonicTime(at), 0, Input::Store(id, StoreResponse::Page(page)));
        let next = |o: Output| if let Output::Store(id, StoreRequest::List { .. }) = o { Some(id) } else { None };
        id = outputs.into_iter().find_map(next).unwrap_or(id);
    }
    assert_eq!((core.store.is_loaded(), core.store.last_read()), (true, Some(MonotonicTime(1000))));
}
