//! Cache of the shapes that fit no machine any more in one scheduling cycle.
//!
//! Free capacity only shrinks during a cycle (except when a gang is rolled back, which restores
//! only what the gang itself took), so a shape that did not fit needs no second search. Each
//! shard's cycle has its own cache.

use crate::coordination::scheduling::resources::Resources;

/// Maximum number of cached shapes; further shapes are searched for each time.
const MAX_SHAPES: usize = 64;

/// Resources of a task, and whether it may use the quick-start reserve.
struct Shape {
    need: Resources,
    quick_start: bool,
}

/// Shapes that found no capacity so far.
#[derive(Default)]
pub(super) struct ExhaustedShapes(Vec<Shape>);

impl ExhaustedShapes {
    /// True if no task of this shape can start in this cycle.
    pub fn contains(&self, need: &Resources, quick_start: bool) -> bool {
        self.0.iter().any(|shape| shape.need == *need && shape.quick_start == quick_start)
    }

    /// Adds a shape that fits no machine.
    pub fn insert(&mut self, need: &Resources, quick_start: bool) {
        if self.0.len() < MAX_SHAPES {
            self.0.push(Shape { need: *need, quick_start });
        }
    }
}
