//! What users ask for: submission, status, cancellation, dependencies and the archive.

pub(crate) mod archive;
pub(crate) mod dependency_graph;
pub(crate) mod dependency_release;
pub(crate) mod refusal;
pub(crate) mod replicas;
pub(crate) mod status_query;
pub(crate) mod submission;
pub(crate) mod validation;
