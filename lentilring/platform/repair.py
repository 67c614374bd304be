"""Repair of JSON texts in which one value keeps a decoder from reading all others."""

import re

import msgspec

# Documents of the platform nest a few levels; the decoder's limit is Python's, about 1,000.
MAX_DEPTH = 64
TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*+"|[\[\]{}]|[^\s"\[\]{},:]++', re.DOTALL)
LITERAL = re.compile(rb"-?(?:0|[1-9]\d*)(?:\.\d+)?(?:[eE][+-]?\d+)?|true|false|null")
NULL, UNREADABLE_KEY = b"null", b'"?"'
KEY_END = re.compile(rb"\s*:")


def repair_json(content: bytes) -> bytes:
    """Replace values that are nested deeper than MAX_DEPTH, or are not JSON, by null."""
    parts: list[bytes] = []
    depth = kept_from = 0
    for token in TOKEN.finditer(content):
        text = token[0]
        if text in (b"[", b"{"):
            depth += 1
            if depth == MAX_DEPTH + 1:
                parts += [content[kept_from : token.start()], NULL]
        elif text in (b"]", b"}"):
            if depth == MAX_DEPTH + 1:
                kept_from = token.end()
            depth -= 1
        elif depth <= MAX_DEPTH and not _is_readable(text):
            is_key = KEY_END.match(content, token.end()) is not None
            parts += [content[kept_from : token.start()], UNREADABLE_KEY if is_key else NULL]
            kept_from = token.end()
    if depth <= MAX_DEPTH:
        parts.append(content[kept_from:])
    return b"".join(parts)


def _is_readable(text: bytes) -> bool:
    if not text.startswith(b'"'):
        return LITERAL.fullmatch(text) is not None
    try:
        msgspec.json.decode(text)
    except msgspec.DecodeError:
        return False
    return True
