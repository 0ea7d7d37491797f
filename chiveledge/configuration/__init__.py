"""The configuration document: its model, its changes and its copy in each process."""

from __future__ import annotations

from chiveledge.configuration._change import (
    Accepted,
    ChangeOutcome,
    ChangeRefused,
    ChangeUnknown,
    Superseded,
    change_configuration,
    decode_versioned,
    encode_versioned,
    read_configuration,
)
from chiveledge.configuration._effect import ChangeEffect, describe_change
from chiveledge.configuration._model import (
    Document,
    Guarantee,
    Kind,
    Preset,
    RequestClass,
    VersionedDocument,
    Workspace,
    hash_token,
    parse_document,
)
from chiveledge.configuration._replica import ConfigurationReplica

__all__ = [
    "Accepted",
    "ChangeEffect",
    "ChangeOutcome",
    "ChangeRefused",
    "ChangeUnknown",
    "ConfigurationReplica",
    "Document",
    "Guarantee",
    "Kind",
    "Preset",
    "RequestClass",
    "Superseded",
    "VersionedDocument",
    "Workspace",
    "change_configuration",
    "decode_versioned",
    "describe_change",
    "encode_versioned",
    "hash_token",
    "parse_document",
    "read_configuration",
]
