//! Users' status queries, answered from the cache.
//!
//! No controller may return an older state than another one returned before, so the cache must be at
//! least as recent as the query. One small read, the probe, returns the store's current revision. Once
//! the watch has brought the cache to that revision, all queries received before the probe are answered
//! from memory. The number of store requests therefore does not grow with the number of queries.

use crate::coordination::store_client::pending_requests::PendingRequest;
use crate::coordination::{Core, Refusal};
use crate::protocol::state::{StoreRequest, StoreResponse};
use crate::units::{JobId, Millis, MonotonicTime, RequestId, Revision};
use std::collections::VecDeque;

/// Maximum number of waiting queries; further ones are refused.
const MAX_WAITING: usize = 400;

/// Minimum interval between two probes. Queries received in between share one probe.
const PROBE_INTERVAL: Millis = Millis(60);

/// Time after which a waiting query is refused, because its user would not wait much longer.
const QUERY_TIMEOUT: Millis = Millis(1500);

/// Time without any store answer after which queries are refused at once. Watches alone produce
/// several answers within this time.
const MAX_STORE_SILENCE: Millis = Millis(2500);

/// Key that never exists. Reading it returns the store's current revision.
const PROBE_KEY: &str = "t/q";

/// A user's query for the state of a job, waiting for its answer.
#[derive(Debug, Clone)]
pub(crate) struct StatusQuery {
    request: RequestId,
    job: JobId,
    received_at: MonotonicTime,
}

impl StatusQuery {
    fn is_expired(&self, now: MonotonicTime) -> bool {
        now.since(self.received_at) > QUERY_TIMEOUT
    }
}

/// A query that can be answered once the cache has reached the revision of its probe.
#[derive(Debug)]
struct ProbedQuery {
    revision: Revision,
    query: StatusQuery,
}

/// Waiting queries and the state of their probes.
#[derive(Debug, Default)]
pub(crate) struct StatusQueries {
    /// Queries that wait for the next probe, oldest first.
    unprobed: VecDeque<StatusQuery>,
    probed: Vec<ProbedQuery>,
    probe_in_flight: bool,
    next_probe: MonotonicTime,
}

impl StatusQueries {
    fn is_full(&self) -> bool {
        self.unprobed.len() + self.probed.len() >= MAX_WAITING
    }

    fn add(&mut self, query: StatusQuery) {
        self.unprobed.push_back(query);
    }

    /// Removes and returns the queries that have exceeded `QUERY_TIMEOUT`.
    fn take_expired(&mut self, now: MonotonicTime) -> Vec<StatusQuery> {
        let expired_count = self.unprobed.iter().take_while(|query| query.is_expired(now)).count();
        let mut expired: Vec<_> = self.unprobed.drain(..expired_count).collect();
        expired.extend(self.take_probed(|probed| probed.query.is_expired(now)));
        expired
    }

    /// Removes and returns the queries that a cache at this revision can answer.
    fn take_answerable(&mut self, revision: Revision) -> Vec<StatusQuery> {
        self.take_probed(|probed| probed.revision <= revision)
    }

    fn take_probed(&mut self, matches: impl Fn(&ProbedQuery) -> bool) -> Vec<StatusQuery> {
        // This runs for every input, so avoid rebuilding the list if nothing matches.
        if !self.probed.iter().any(&matches) {
            return vec![];
        }
        let (taken, remaining): (Vec<_>, Vec<_>) = std::mem::take(&mut self.probed).into_iter().partition(matches);
        self.probed = remaining;
        taken.into_iter().map(|probed| probed.query).collect()
    }

    fn is_probe_due(&self, now: MonotonicTime) -> bool {
        !self.unprobed.is_empty() && !self.probe_in_flight && now >= self.next_probe
    }

    /// Marks a probe as in flight and returns the queries that it covers.
    fn start_probe(&mut self, now: MonotonicTime) -> Vec<StatusQuery> {
        self.probe_in_flight = true;
        self.next_probe = now + PROBE_INTERVAL;
        self.unprobed.drain(..).collect()
    }

    fn end_probe(&mut self) {
        self.probe_in_flight = false;
    }

    fn hold_until(&mut self, revision: Revision, queries: Vec<StatusQuery>) {
        self.probed.extend(queries.into_iter().map(|query| ProbedQuery { revision, query }));
    }
}

impl Core {
    /// Handles a user's query. A job that has ended is answered at once, because its outcome is final.
    pub(crate) fn handle_status_query(&mut self, request: RequestId, job: JobId) {
        if self.final_state(&job).is_some() {
            return self.answer_known_job(request, &job);
        }
        self.enqueue_status_query(request, job);
    }

    /// Queues a query, to be answered once the cache is at least as recent as this moment. Refuses it
    /// if the store does not answer or too many queries are waiting.
    pub(crate) fn enqueue_status_query(&mut self, request: RequestId, job: JobId) {
        if self.store.is_loaded() && self.is_store_silent() {
            return self.refuse(request, Refusal::StoreUnavailable);
        }
        if !self.store.is_loaded() || self.status_queries.is_full() {
            return self.refuse(request, Refusal::Busy);
        }
        self.status_queries.add(StatusQuery { request, job, received_at: self.now });
    }

    /// True if the store has not answered for `MAX_STORE_SILENCE`, not counting the time during which
    /// this process was suspended.
    fn is_store_silent(&self) -> bool {
        let last_answer = self.store.last_response().map(|at| at.max(self.resumed_at));
        last_answer.is_none_or(|at| self.now.since(at) > MAX_STORE_SILENCE)
    }

    /// Refuses expired queries and sends a probe for the others if one is due. Called after each input.
    pub(crate) fn process_status_queries(&mut self) {
        let expired = self.status_queries.take_expired(self.now);
        self.refuse_queries(expired);
        if !self.status_queries.is_probe_due(self.now) || !self.store.may_send(self.now) {
            return;
        }
        if self.store.try_charge_requests(self.now, 1.0) {
            let queries = self.status_queries.start_probe(self.now);
            self.call_store(StoreRequest::Get { key: PROBE_KEY.into() }, PendingRequest::RevisionProbe(queries));
        }
    }

    /// Handles the response to a probe: holds its queries until the cache has reached the revision that
    /// the probe returned.
    pub(crate) fn handle_probe(&mut self, queries: Vec<StatusQuery>, answer: StoreResponse) {
        self.status_queries.end_probe();
        let StoreResponse::Missing(revision) = answer else { return self.refuse_queries(queries) };
        self.status_queries.hold_until(revision, queries);
        if self.cache.revision < revision {
            // The queries wait for the changes that the next watch returns.
            self.store.request_watch_now(self.now);
            self.tick_membership();
        }
        self.answer_ready_queries();
    }

    /// Answers the queries whose probe revision the cache has reached.
    pub(crate) fn answer_ready_queries(&mut self) {
        for query in self.status_queries.take_answerable(self.cache.revision) {
            self.answer_from_cache(query.request, &query.job);
        }
    }

    fn refuse_queries(&mut self, queries: Vec<StatusQuery>) {
        for query in queries {
            self.refuse(query.request, Refusal::StoreUnavailable);
        }
    }
}

#[cfg(test)]
mod tests;
