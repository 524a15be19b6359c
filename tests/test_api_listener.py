"""The doors for operators and for those who ask where to go: one handler, over loopback sockets."""

import asyncio
import json
from unittest import mock

import testtools
from returns.result import Failure, Success
from testtools.matchers import Equals

from vetchusher import control
from vetchusher.distribution import wire_pb2 as wire
from vetchusher.errors import HTTP_STATUS, Error, ErrorCode
from vetchusher.node import api_calls, api_endpoints, api_listener, order_service


class Settler:
    """Settles each call as told, and notes it."""

    def __init__(self, outcome=None):
        self.calls = []
        self.outcome = outcome

    async def __call__(self, call):
        self.calls.append(call)
        if asyncio.isfuture(self.outcome):
            return await self.outcome
        if self.outcome is not None:
            return self.outcome
        return Success(
            {
                api_calls.ReplaceConfiguration: lambda: api_calls.ConfigurationReplaced(),
                api_calls.RetrieveConfiguration: lambda: api_calls.ConfigurationRetrieved(
                    b'{"version": "r1"}'
                ),
                api_calls.InitiateEvacuation: lambda: api_calls.EvacuationSet(call.zone, True),
                api_calls.TerminateEvacuation: lambda: api_calls.EvacuationSet(call.zone, False),
                api_calls.ResolveAddresses: lambda: api_calls.AddressesResolved(("10.0.0.1:80",), 2.0),
            }[type(call)]()
        )


async def read_answer(reader):
    """Status, headers and body of the next answer."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    headers = {k.lower(): v for k, _, v in (line.partition(": ") for line in head[1:])}
    return int(head[0].split()[1]), headers, await reader.readexactly(int(headers["content-length"]))


def message(line, body=b"", *headers):
    lines = [f"{line} HTTP/1.1", "Host: x", *headers]
    if body or line.startswith("POST"):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class DoorsTest(testtools.TestCase):
    def talk(self, settler, script, kind=api_listener.ControlApi, **bounds):
        """Run the script with a door open: it gets a way to connect, and the door."""

        async def run():
            door = kind(settler, ("127.0.0.1", 0), **bounds)
            door.open()
            writers = []

            async def connect():
                reader, writer = await asyncio.open_connection(*door.address)
                writers.append(writer)
                return reader, writer

            try:
                return await script(connect, door)
            finally:
                for writer in writers:
                    writer.close()
                await door.close()

        return asyncio.run(asyncio.wait_for(run(), 30))

    def ask(self, settler, *messages, **options):
        """The answers to messages, on one connection as long as all is well."""

        async def script(connect, door):
            answers = []
            for raw in messages:
                if not answers or answers[-1][0] != 200:
                    reader, writer = await connect()
                writer.write(raw)
                answers.append(await read_answer(reader))
            return answers

        return self.talk(settler, script, **options)

    def test_each_call_is_read_settled_and_answered_by_its_type(self):
        settler = Settler()
        answers = self.ask(
            settler,
            message("POST /configuration/replace", b'{"version"'),
            message("GET /configuration/retrieve?x=1"),
            message("POST /evacuation/north-1/initiate"),
            message("POST /evacuation/n%C3%B6rd/terminate", b"not looked at"),
        )
        self.assertThat([status for status, _, _ in answers], Equals([200] * 4))
        self.assertThat({headers["content-type"] for _, headers, _ in answers}, Equals({"application/json"}))
        self.assertThat(answers[1][2], Equals(b'{"version": "r1"}'))
        self.assertThat(json.loads(answers[3][2]), Equals({"zone": "nörd", "on": False}))
        said = [
            api_calls.ReplaceConfiguration(b'{"version"'),
            api_calls.RetrieveConfiguration(),
            api_calls.InitiateEvacuation("north-1"),
            api_calls.TerminateEvacuation("nörd"),
        ]
        self.assertThat(settler.calls, Equals(said))

    def test_the_directory_is_asked_by_name_and_place(self):
        settler = Settler()
        raws = (
            message("GET /resolution?name=a.example&region=n&zone=n-1"),
            message("GET /resolution?zone=%zz"),
        )
        (_, _, body), (status, _, _) = self.ask(settler, *raws, kind=api_listener.DirectoryApi)
        self.assertThat(json.loads(body), Equals({"addresses": ["10.0.0.1:80"], "ttl_s": 2.0}))
        self.assertThat(
            (status, settler.calls[0]), Equals((200, api_calls.ResolveAddresses("a.example", "n", "n-1")))
        )

    def test_faults_are_answered_by_their_kind(self):
        for fault in (
            Error(ErrorCode.INVALID_ORDER, "configuration.version: no"),
            Error(ErrorCode.NOT_FOUND, "none yet"),
            Error(ErrorCode.VERSION_CONFLICT, "r5 is taken by another body"),
            Error(ErrorCode.UNAVAILABLE, "no primary", 250_000),
            Error(ErrorCode.UNAVAILABLE, "no majority settled it in time"),
        ):
            ((status, headers, body),) = self.ask(
                Settler(Failure(fault)), message("GET /configuration/retrieve")
            )
            self.assertThat(status, Equals(HTTP_STATUS[fault.code]))
            self.assertThat(json.loads(body), Equals({"error": fault.code, "text": fault.text}))
            retry_after_us = fault.retry_after_us or api_endpoints.DEFAULT_RETRY_AFTER_US
            back = f"{retry_after_us / 1e6:.3f}" if fault.code is ErrorCode.UNAVAILABLE else None
            self.assertThat(headers.get("retry-after"), Equals(back))

    def test_what_may_be_overtaken_leaves_only_while_its_backing_lasts(self):
        """Asked as the bytes leave: a reading, a refusal for good; of what is unsettled there is nothing to
        ask."""
        reading = Success(api_calls.ConfigurationRetrieved(b"{}"))
        unknown = Failure(Error(ErrorCode.NOT_FOUND, "no zone"))
        unsettled = Failure(Error(ErrorCode.UNAVAILABLE, "no primary", 250_000))
        for outcome, lasts, status, text in (
            (reading, True, 200, None),
            (reading, False, 503, api_calls.STALE_OUTCOME.text),
            (unknown, True, 404, "no zone"),
            (unknown, False, 503, api_calls.STALE_OUTCOME.text),
            (unsettled, False, 503, "no primary"),
        ):
            settler = Settler(api_calls.GuardedOutcome(outcome, lambda lasts=lasts: lasts))
            ((got, headers, body),) = self.ask(settler, message("GET /configuration/retrieve"))
            self.assertThat((got, json.loads(body).get("text")), Equals((status, text)))
            self.assertThat("retry-after" in headers, Equals(status == 503))

    def test_a_long_reading_breaks_off_where_its_backing_ends(self):
        body, looks = b"x" * (api_listener.WRITE_CHUNK_BYTES * 4), iter([True, True, False])
        whole = api_calls.GuardedOutcome(Success(api_calls.ConfigurationRetrieved(body)), lambda: True)
        ((status, _, got),) = self.ask(Settler(whole), message("GET /configuration/retrieve"))
        self.assertThat((status, got), Equals((200, body)))

        async def script(connect, door):
            reader, writer = await connect()
            writer.write(message("GET /configuration/retrieve"))
            return await reader.read(-1)

        ends = api_calls.GuardedOutcome(Success(api_calls.ConfigurationRetrieved(body)), lambda: next(looks))
        with testtools.ExpectedException(ConnectionError):
            got = self.talk(Settler(ends), script)
            raise ConnectionError(f"{len(got)} of {len(body)}") if len(got) < len(body) else AssertionError

    def test_what_the_primary_said_comes_through(self):
        """Kinds of errors survive the way between two core machines; an unknown one is no refusal."""
        for kind in (ErrorCode.VERSION_CONFLICT, ErrorCode.INVALID_ORDER, ErrorCode.NOT_FOUND):
            said = order_service.forwarded_error(wire.OrderDone(kind=kind.value, text="why"))
            self.assertThat(said, Equals(Error(kind, "why")))
        for name in (ErrorCode.UNAVAILABLE.value, "of a later release"):
            said = order_service.forwarded_error(wire.OrderDone(kind=name, text="why"))
            self.assertThat((said.status, said.retry_after_us > 0), Equals((503, True)))

    def test_an_evacuation_that_may_have_waited_is_not_taken(self):
        async def commit_here(order):
            return api_calls.GuardedOutcome(Success(order), lambda: True)

        orders = (control.EvacuationOrder("a", True), control.ReplaceOrder(1, b""), control.RetrieveOrder())
        for stood_still in (False, True):
            service = mock.Mock(commit_here=commit_here)
            service.replica.was_paused.return_value = stood_still
            taken = [
                isinstance(
                    asyncio.run(order_service.OrderService.commit_or_forward(service, order, None)).outcome,
                    Success,
                )
                for order in orders
            ]
            self.assertThat(taken, Equals([not stood_still, True, True]))

    def test_what_is_no_call_never_reaches_whoever_settles(self):
        settler = Settler()
        chunked = "Transfer-Encoding: chunked"
        cases = (
            (404, message("GET /configuration")),
            (404, message("GET /configuration/retrieve/")),
            (404, message("POST /evacuation/a/b/initiate")),
            (404, message("GET /resolution?name=x")),
            (405, message("GET /configuration/replace")),
            (405, message("DELETE /configuration/retrieve")),
            (400, message("POST /evacuation/%0A/initiate")),
            (413, message("POST /configuration/replace", b"x" * 101)),
            (
                413,
                message("GET /configuration/replace", b"", chunked).replace(b"GET", b"POST")
                + b"65\r\n"
                + b"x" * 101,
            ),
            (400, message("GET /configuration/replace", b"", chunked).replace(b"GET", b"POST") + b"no\r\n"),
            (400, b"no http\r\n\r\n"),
        )
        answers = self.ask(settler, *(raw for _, raw in cases), max_body_bytes=100)
        self.assertThat([status for status, _, _ in answers], Equals([status for status, _ in cases]))
        self.assertThat((settler.calls, answers[4][1]["allow"]), Equals(([], "POST")))

    def test_bodies_together_are_bounded_and_each_is_given_back(self):
        async def script(connect, door):
            settler = door.execute
            settler.outcome = asyncio.get_running_loop().create_future()
            first, writer = await connect()
            writer.write(message("POST /configuration/replace", b"x" * 80))
            while not settler.calls:
                await asyncio.sleep(0.001)
            second, writer = await connect()
            writer.write(message("POST /configuration/replace", b"x" * 30))
            refused = await read_answer(second)
            held = door.buffered_bytes
            settler.outcome.set_result(Success(api_calls.ConfigurationReplaced()))
            return refused[0], held, (await read_answer(first))[0], door.buffered_bytes

        self.assertThat(self.talk(Settler(), script, max_body_bytes=100), Equals((503, 80, 200, 0)))

    def test_who_sends_slowly_or_is_never_settled_does_not_stay(self):
        async def script(connect, door):
            slow, writer = await connect()
            writer.write(message("POST /configuration/replace", b"xx")[:-1])
            status = (await read_answer(slow))[0]
            door.execute.outcome = asyncio.get_running_loop().create_future()
            unsettled, writer = await connect()
            writer.write(message("GET /configuration/retrieve"))
            return status, (await read_answer(unsettled))[0], door.buffered_bytes

        told = []
        self.assertLess(api_listener.CALLER_TIMEOUT_S, 1.0)  # then callers hear of it before they go
        with (
            mock.patch.object(api_listener, "READ_TIMEOUT_S", 0.05),
            mock.patch.object(api_listener, "CALLER_TIMEOUT_S", 0.05),
        ):
            answers = self.talk(Settler(), script, on_rejected=lambda *rejected: told.append(rejected))
        self.assertThat(answers, Equals((408, 503, 0)))
        ((call, fault),) = told
        self.assertThat(
            (call, fault.code), Equals((api_calls.RetrieveConfiguration(), ErrorCode.UNAVAILABLE))
        )

    def test_a_chunk_that_cannot_be_read_is_answered_at_once(self):
        async def script(connect, door):
            reader, writer = await connect()
            head = message("GET /configuration/replace", b"", "Transfer-Encoding: chunked")
            writer.write(head.replace(b"GET", b"POST") + b"2\r\nxx\r\n")
            while not door.buffered_bytes:
                await asyncio.sleep(0.001)
            writer.write(b"no\r\n")
            return (await read_answer(reader))[0], door.execute.calls, door.buffered_bytes

        self.assertThat(self.talk(Settler(), script), Equals((400, [], 0)))

    def test_who_reads_no_answer_is_cut(self):
        async def script(connect, door):
            _, writer = await connect()
            writer.write(message("GET /configuration/retrieve"))
            while not door.execute.calls or door.listener.links:
                await asyncio.sleep(0.005)
            return True

        long = Success(api_calls.ConfigurationRetrieved(b"x" * (32 << 20)))
        with mock.patch.object(api_listener, "READ_TIMEOUT_S", 0.05):
            self.assertTrue(self.talk(Settler(long), script))

    def test_a_call_under_way_is_answered_while_the_door_closes(self):
        async def script(connect, door):
            door.execute.outcome = asyncio.get_running_loop().create_future()
            reader, writer = await connect()
            writer.write(message("POST /evacuation/a/initiate"))
            while not door.execute.calls:
                await asyncio.sleep(0.001)
            closing = asyncio.ensure_future(door.close())
            await asyncio.sleep(0)
            door.execute.outcome.set_result(Success(api_calls.EvacuationSet("a", True)))
            status, headers, _ = await read_answer(reader)
            await closing
            return status, headers["connection"]

        self.assertThat(self.talk(Settler(), script), Equals((200, "close")))

    def test_a_caller_that_leaves_before_its_answer_is_no_error(self):
        """caller  asks ............ leaves
        door            settles it ........ writes the answer, before it hears of that"""
        left = []

        async def script(connect, door):
            async def settle(call):
                (link,) = door.listener.links
                link.wire.abort()
                left.append(call)
                return Success(api_calls.EvacuationSet("a", True))

            door.execute = settle
            reader, writer = await connect()
            writer.write(message("POST /evacuation/a/initiate"))
            return await reader.read()

        with mock.patch.object(api_listener.log, "error") as said:
            self.assertThat(self.talk(Settler(), script), Equals(b""))
        self.assertThat((len(left), said.mock_calls), Equals((1, [])))
