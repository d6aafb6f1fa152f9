//! Shapes that fit no machine any more in one scheduling cycle.
//!
//! Free capacity only shrinks during a cycle (but for a gang that gives back what it took
//! itself), so that what found none need not be looked for again. Owned by a shard's cycle.

use crate::coordination::scheduling::resources::Resources;

/// The most shapes remembered; capacity for others is looked for each time.
const MAX_SHAPES: usize = 64;

/// What a task takes, and whether it may use the reserve for quick starts.
struct Shape {
    need: Resources,
    quick_start: bool,
}

/// The shapes that found no capacity so far.
#[derive(Default)]
pub(super) struct ExhaustedShapes(Vec<Shape>);

impl ExhaustedShapes {
    /// True if no task of this shape can start any more.
    pub fn contains(&self, need: &Resources, quick_start: bool) -> bool {
        self.0.iter().any(|shape| shape.need == *need && shape.quick_start == quick_start)
    }

    /// Remembers a shape that fits no machine.
    pub fn insert(&mut self, need: &Resources, quick_start: bool) {
        if self.0.len() < MAX_SHAPES {
            self.0.push(Shape { need: *need, quick_start });
        }
    }
}
