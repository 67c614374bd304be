"""The compiled form of the IDL files."""

from testtools import TestCase

from lentilring.peers.idl import COMPILED_PATH, describe_package, encode_descriptions


class CompiledIdlTest(TestCase):
    def test_compiled_form_is_that_of_the_files(self) -> None:
        """Guards against an IDL file that was changed while `structs.json` was not regenerated.

        `python -m lentilring.peers.idl` compiles all files.
        """
        self.assertEqual(COMPILED_PATH.read_bytes(), encode_descriptions(describe_package()))
