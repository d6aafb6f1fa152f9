"""The state service, as PROTOCOL-tillercleat.md describes it."""

import asyncio
import bisect
import json
import time
from urllib.parse import parse_qs, urlsplit

from . import http

MAX_LOGGED = 10_000
MAX_PAGE_ITEMS, MAX_PAGE_BYTES = 1000, 512 * 1024
MAX_TRANSACTION_BYTES = 64 * 1024


class Bucket:
    def __init__(self, rate):
        self.rate, self.level, self.at = rate, rate, time.monotonic()

    def take(self, cost):
        now = time.monotonic()
        self.level = min(self.rate, self.level + (now - self.at) * self.rate)
        self.at = now
        if self.level < cost:
            return False
        self.level -= cost
        return True


class Store:
    def __init__(self, limits, record):
        self.record = record
        self.set_limits(limits)
        self.revision = 0
        self.rows = {}  # key -> [value, version, lease]
        self.leases = {}  # id -> [ttl_s, ends]
        self.last_lease = 0
        self.log = []  # (revision, key, event as JSON)
        self.changed = asyncio.Event()
        self.on_commit = None

    def set_limits(self, limits):
        self.limits = limits
        self.requests, self.writes = Bucket(limits["rps"]), Bucket(limits["write_rps"])

    async def start(self, nodes):
        """Serves each controller at an address of its own, so that a single one can be refused."""
        self.refused, self.addresses = set(), {}
        for node in nodes:
            server, self.addresses[node] = await http.serve(lambda *request, node=node: self.handle_for(node, *request))
        server, self.address = await http.serve(self.handle)
        self.expiry = asyncio.create_task(self.expire_leases())

    def address_for(self, node):
        return self.addresses.get(node, self.address)

    async def handle_for(self, node, method, target, body):
        if node in self.refused:
            if not target.startswith("/changes"):
                return 503, {"error": "refused"}
            # Its open watches wait as they do in an outage.
            while node in self.refused:
                await asyncio.sleep(0.02)
        return await self.handle(method, target, body)

    async def expire_leases(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease in [lease for lease, (_, ends) in self.leases.items() if ends < now]:
                self.end_lease(lease)

    def end_lease(self, lease):
        del self.leases[lease]
        keys = [key for key, row in self.rows.items() if row[2] == lease]
        if keys:
            self.revision += 1
            for key in keys:
                del self.rows[key]
                self.log_event({"drop": key, "stamp": self.revision})

    def log_event(self, event):
        text = json.dumps(event, separators=(",", ":")).encode()
        self.log.append((self.revision, event.get("put") or event.get("drop"), text))
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, method, target, body):
        if not self.requests.take(1):
            return 429, {"error": "too many requests"}
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if method == "GET" and url.path == "/kv":
            return self.list(query)
        if method == "GET" and url.path.startswith("/kv/"):
            return self.get(url.path[4:])
        if method == "GET" and url.path == "/changes":
            return await self.watch(query)
        if method == "POST" and url.path == "/txn":
            return self.transaction(body)
        if method == "POST" and url.path == "/leases":
            self.last_lease += 1
            ttl_s = json.loads(body)["ttl_ms"] / 1000
            self.leases[self.last_lease] = [ttl_s, time.monotonic() + ttl_s]
            return 200, {"mooring": self.last_lease}
        if url.path.startswith("/leases/"):
            lease = int(url.path.split("/")[2])
            if lease not in self.leases:
                return 404, {"error": "no such lease"}
            if method == "DELETE":
                self.end_lease(lease)
            else:
                self.leases[lease][1] = time.monotonic() + self.leases[lease][0]
            return 200, {}
        return 400, {"error": "no such path"}

    def get(self, key):
        row = self.rows.get(key)
        if row is None:
            return 404, {"logline": self.revision}
        item = {"key": key, "data": row[0], "stamp": row[1]}
        return 200, {**item, "mooring": row[2]} if row[2] is not None else item

    def list(self, query):
        prefix, after, limit = query["starts"], query.get("from", ""), int(query.get("limit", MAX_PAGE_ITEMS))
        keys = sorted(key for key in self.rows if key.startswith(prefix) and key > after)
        rows, size = [], 0
        for key in keys:
            item = {"key": key, "data": self.rows[key][0], "stamp": self.rows[key][1]}
            size += len(json.dumps(item))
            if len(rows) >= min(limit, MAX_PAGE_ITEMS) or (rows and size > MAX_PAGE_BYTES):
                break
            rows.append(item)
        return 200, {"rows": rows, "truncated": len(rows) < len(keys), "logline": self.revision}

    async def watch(self, query):
        prefix, after = query["starts"], int(query["from"])
        until = time.monotonic() + min(int(query.get("block_ms", 0)), 60_000) / 1000
        while True:
            if len(self.log) > MAX_LOGGED and self.log[-MAX_LOGGED][0] > after + 1:
                return 410, {"error": "too old"}
            start = bisect.bisect_right(self.log, after, key=lambda entry: entry[0])
            news = [text for _, key, text in self.log[start:] if key.startswith(prefix)]
            left = until - time.monotonic()
            if news or left <= 0:
                return 200, b'{"logline":%d,"news":[%s]}' % (self.revision, b",".join(news))
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transaction(self, body):
        transaction = json.loads(body)
        conditions, changes = transaction.get("when", []), transaction.get("apply", [])
        if not self.writes.take(len(changes)):
            return 429, {"error": "too many changes"}
        if any(c.get("mooring") is not None and c["mooring"] not in self.leases for c in changes):
            return 400, {"error": "no such lease"}
        reason = self.too_large(body, conditions, changes)
        if reason:
            self.record("store refuses a transaction", reason=reason, bytes=len(body))
            return 400, {"error": reason}
        version = lambda key: self.rows[key][1] if key in self.rows else 0
        failed = [c["key"] for c in conditions if version(c["key"]) != c["stamp"]]
        if failed:
            return 409, {"failed": failed, "logline": self.revision}
        if changes:
            self.revision += 1
        for change in changes:
            if "put" in change:
                self.rows[change["put"]] = [change["data"], self.revision, change.get("mooring")]
                self.log_event({"put": change["put"], "data": change["data"], "stamp": self.revision})
            elif self.rows.pop(change["drop"], None) is not None:
                self.log_event({"drop": change["drop"], "stamp": self.revision})
        if self.on_commit and changes:
            self.on_commit(changes, self.revision)
        return 200, {"logline": self.revision}

    def too_large(self, body, conditions, changes):
        if len(body) > MAX_TRANSACTION_BYTES:
            return "the transaction is too large"
        if len(changes) > self.limits["txn_ops"] or len(conditions) > 4 * self.limits["txn_ops"]:
            return "too many operations"
        for change in changes:
            if "put" in change and len(json.dumps(change["data"], separators=(",", ":"))) > self.limits["value_kb"] * 1024:
                return f"the value of {change['put']} is too large"
        return None
