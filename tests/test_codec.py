"""Messages, their IDL files and the bytes between processes."""

import importlib
import pkgutil
import re
from dataclasses import dataclass, fields
from enum import StrEnum

import testtools

import lentilring
from lentilring.database.messages import ReportStatus, Role, ServerStatus, TermStart
from lentilring.peers import codec
from lentilring.peers.codec import DecodeFailed, EncodeFailed, IdlMismatch, decode, encode
from lentilring.peers.messages import MESSAGES, message

STATUS = ServerStatus(
    server="a",
    term=2,
    role=Role.PRIMARY,
    position=2**40,
    log_terms=(TermStart(term=1, position=0), TermStart(term=2, position=7)),
    primary_silence_s=0.5,
    open_connections=3,
    accepted=False,
)


class Colour(StrEnum):
    RED = "red"


@message
@dataclass(frozen=True, kw_only=True)
class CodecSample:
    colours: tuple[Colour, ...]
    grid: tuple[tuple[TermStart, ...], ...]
    note: str | None
    start: TermStart | None = None
    data: bytes = b""
    retries: int = 3


@message
@dataclass(frozen=True, kw_only=True)
class CodecMismatch:
    term: float


@message
@dataclass(frozen=True, kw_only=True)
class CodecRenamed:
    epoch: int = 0


def import_all_messages() -> None:
    for entry in pkgutil.walk_packages(lentilring.__path__, "lentilring."):
        if ".cli" not in entry.name and not entry.name.endswith("__main__"):
            importlib.import_module(entry.name)


class IdlTest(testtools.TestCase):
    def test_every_message_matches_its_struct(self) -> None:
        """Guards against a field that is added, moved or retyped on one side only."""
        import_all_messages()
        package_messages = [
            cls for cls in MESSAGES.values() if cls.__module__.startswith("lentilring.")
        ]
        for cls in package_messages:
            codec.bind(cls)
            text = codec.find_idl(cls).read_text()
            struct_body = re.search(rf"struct {cls.__name__} {{(.*?)}}", text, re.DOTALL)
            assert struct_body is not None, cls
            optional = set(re.findall(r"\d+: optional \S+ (\w+)", struct_body[1]))
            for field in fields(cls):
                self.assertEqual(
                    "None" in str(field.type), field.name in optional, (cls, field.name)
                )
        self.assertGreaterEqual(len(package_messages), 14)

    def test_a_different_field_is_refused(self) -> None:
        """Guards against a comparison that accepts any struct of the right name."""
        self.assertRaises(IdlMismatch, encode, CodecMismatch(term=1.0))
        self.assertRaises(IdlMismatch, encode, CodecRenamed())


class RoundTripTest(testtools.TestCase):
    def test_nested_messages_return_unchanged(self) -> None:
        """Guards against tuples, enums or optional fields that decode to another type."""
        start = TermStart(term=1, position=2)
        samples = [
            STATUS,
            ReportStatus(),
            CodecSample(colours=(Colour.RED,), grid=((start,), ()), note=None, data=b"\xff\0"),
            CodecSample(colours=(), grid=(), note="\u20ac", start=start, retries=-1),
        ]
        for sample in samples:
            self.assertEqual(sample, decode(encode(sample)))
        self.assertIs(Role.PRIMARY, decode(encode(STATUS)).role)

    def test_absent_fields_take_defaults(self) -> None:
        """Guards against decoding errors in a rolling upgrade: old processes send no new field."""
        data = bytes((11,)) + b"CodecSample" + bytes.fromhex("0f00010b00000000 0f00020f00000000 00")
        self.assertEqual(CodecSample(colours=(), grid=(), note=None), decode(data))

    def test_a_missing_required_field_is_refused(self) -> None:
        """Guards against decoding a message whose missing values are invented."""
        self.assertRaises(DecodeFailed, decode, bytes((9,)) + b"TermStart\0")

    def test_text_must_be_utf_8(self) -> None:
        """Guards against text fields that hold bytes which are not valid UTF-8."""
        name = encode(STATUS).replace(b"\0\0\0\1a", b"\0\0\0\1\xff")
        self.assertRaises(DecodeFailed, decode, name)

    def test_values_out_of_range_are_refused(self) -> None:
        """Guards against numbers that are silently truncated to the size of their field."""
        self.assertRaises(EncodeFailed, encode, TermStart(term=2**63, position=0))
        self.assertRaises(EncodeFailed, encode, object())
