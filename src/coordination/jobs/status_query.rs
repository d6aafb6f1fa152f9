//! Users' questions, answered from the cache.
//!
//! No node may give an older answer than another gave before, so the cache must
//! be as new as the moment of the question. One small read tells how far the
//! records have come; once the watch has brought the cache there, all questions
//! that came before that read are answered from memory. Asked many times as
//! often, users cost the state service no more reads than before, and take
//! none from submissions, workers and fencing.

use crate::coordination::jobs::refusal::Refusal;
use crate::coordination::store_client::pending_requests::PendingRequest;
use crate::coordination::Core;
use crate::protocol::state::{StoreRequest, StoreResponse};
use crate::units::{JobId, Millis, MonotonicTime, RequestId, Revision};
use std::collections::VecDeque;

/// Questions that wait at the same time; more are told to come back.
const MOST_WAITING: usize = 400;

/// Pause between two probes: what comes meanwhile shares one.
const PROBE_EVERY: Millis = Millis(60);

/// A question that could not be answered by then is told to come back: its
/// user would not wait much longer.
const PATIENCE: Millis = Millis(1500);

/// Without any answer of the state service for so long a question is told to come
/// back at once: watches alone bring several in that time, if it answers at all.
const STATE_SILENT: Millis = Millis(2500);

/// Nothing is ever kept under this key; reading it tells the revision.
const PROBE_KEY: &str = "t/q";

/// A request that asks for the state of a job.
#[derive(Debug, Clone)]
pub(crate) struct Question {
    request: RequestId,
    job: JobId,
    at: MonotonicTime,
}

#[derive(Debug, Default)]
pub(crate) struct StatusQueries {
    /// Not covered by a probe yet.
    waiting: VecDeque<Question>,
    /// Answered once the cache has reached the revision.
    held: Vec<(Revision, Question)>,
    probing: bool,
    next: MonotonicTime,
}

impl Core {
    pub(crate) fn query_status(&mut self, request: RequestId, job: JobId) {
        // A standstill of this node is nobody's silence.
        let heard = self.store.last_answer().map(|at| at.max(self.resumed_at));
        if self.store.is_loaded() && heard.is_none_or(|at| self.now.since(at) > STATE_SILENT) {
            return self.refuse(request, Refusal::StoreUnavailable);
        }
        let status_queries = &mut self.status_queries;
        if !self.store.is_loaded() || status_queries.waiting.len() + status_queries.held.len() >= MOST_WAITING {
            return self.refuse(request, Refusal::Busy);
        }
        status_queries.waiting.push_back(Question { request, job, at: self.now });
    }

    /// Sends a probe for what waits, and gives up what waited too long.
    pub(crate) fn process_status_queries(&mut self) {
        let now = self.now;
        while self.status_queries.waiting.front().is_some_and(|q| now.since(q.at) > PATIENCE) {
            if let Some(question) = self.status_queries.waiting.pop_front() {
                self.give_up(question);
            }
        }
        if self.status_queries.held.iter().any(|(_, q)| now.since(q.at) > PATIENCE) {
            let held = std::mem::take(&mut self.status_queries.held);
            let (late, held): (Vec<_>, Vec<_>) = held.into_iter().partition(|(_, q)| now.since(q.at) > PATIENCE);
            self.status_queries.held = held;
            late.into_iter().for_each(|(_, question)| self.give_up(question));
        }
        let status_queries = &self.status_queries;
        if status_queries.waiting.is_empty()
            || status_queries.probing
            || now < status_queries.next
            || !self.store.may_send(now)
        {
            return;
        }
        if self.store.try_charge_reads(now, 1.0) {
            self.status_queries.probing = true;
            self.status_queries.next = now + PROBE_EVERY;
            let questions = self.status_queries.waiting.drain(..).collect();
            self.call_state(StoreRequest::Get { key: PROBE_KEY.into() }, PendingRequest::Probe(questions));
        }
    }

    fn give_up(&mut self, question: Question) {
        self.refuse(question.request, Refusal::StoreUnavailable);
    }

    pub(crate) fn probed(&mut self, questions: Vec<Question>, answer: StoreResponse) {
        self.status_queries.probing = false;
        let StoreResponse::Missing(revision) = answer else {
            return questions.into_iter().for_each(|q| self.give_up(q));
        };
        self.status_queries.held.extend(questions.into_iter().map(|q| (revision, q)));
        if self.cache.revision < revision {
            // The watch need not pause before it brings what is awaited.
            self.store.watch_at_once(self.now);
            self.tick_membership();
        }
        self.answer_ready_queries();
    }

    /// Answers what the cache has caught up with.
    pub(crate) fn answer_ready_queries(&mut self) {
        if self.status_queries.held.is_empty() {
            return;
        }
        let revision = self.cache.revision;
        let (ready, held) =
            std::mem::take(&mut self.status_queries.held).into_iter().partition(|(at, _)| *at <= revision);
        self.status_queries.held = held;
        let ready: Vec<(Revision, Question)> = ready;
        for (_, question) in ready {
            self.answer_from_cache(question.request, &question.job);
        }
    }
}

#[cfg(test)]
mod tests;
