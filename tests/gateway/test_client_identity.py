"""Whose key a client shows, by the tenants of the configuration in force."""

from __future__ import annotations

import copy
from typing import Any

import pytest
from result import Err, Ok

from postpass.configuration.configuration import Route
from postpass.configuration.tenant_keys import key_digest
from postpass.feed.configuration_view import ConfigurationView
from postpass.gateway.attempts import KeyStanding
from postpass.gateway.client_identity import PUBLIC, WITHOUT_TENANTS, ClientKeys, KeyRefusal, shown_key
from postpass.gateway.http_headers import Headers
from tests.gateway.test_relay import manifest, route

CLOSED: Route = route("idem", "/i/")
OPEN: Route = route("idem", "/p/", public=True)
UNKNOWN = Err(KeyRefusal.UNKNOWN)


def tenant(*keys: str, **more: Any) -> dict[str, Any]:
    return {"keys": [key_digest(key.encode()) for key in keys], "rate": 0.0, "burst": 0.0} | more


def shows(key: str) -> Headers:
    return [(b"authorization", b"Bearer " + key.encode())]


def keys_of(tenants: dict[str, Any] | None) -> tuple[ClientKeys, ConfigurationView]:
    view = ConfigurationView("e")
    put(view, tenants)
    return ClientKeys(view), view


def put(view: ConfigurationView, tenants: dict[str, Any] | None) -> None:
    configuration: Any = view.manifest or manifest(["w"])
    configuration = {key: value for key, value in configuration.items() if key != "tenants"}
    if tenants is not None:
        configuration["tenants"] = tenants
    assert view.accept(view.revision + 1, configuration)


def name_of(keys: ClientKeys, headers: Headers, at: Route = CLOSED) -> str | None:
    return keys.authenticate(at, headers).map(lambda client: client.tenant).unwrap_or(None)


class Test_shown_key:
    @pytest.mark.parametrize("scheme", [b"Bearer", b"bearer", b"BEARER"])
    def test_the_scheme_is_read_in_any_case(self, scheme: bytes) -> None:
        assert shown_key([(b"authorization", scheme + b" k1 ")]) == b"k1"

    @pytest.mark.parametrize("value", [b"", b"Bearer", b"Bearer ", b"k1", b"Basic k1", b"Bearer:k1", b"Bearer\tk1"])
    def test_anything_else_shows_none(self, value: bytes) -> None:
        assert shown_key([(b"authorization", value)]) is None

    def test_two_headers_show_none_even_if_they_agree(self) -> None:
        assert shown_key(shows("k1") + shows("k1")) is None
        assert shown_key([]) is None


class Test_authenticate:
    def test_each_key_is_its_tenants(self) -> None:
        keys, _ = keys_of({"t1": tenant("k1", "k2"), "t2": tenant("k3", rank=0)})
        assert [name_of(keys, shows(key)) for key in ("k1", "k2", "k3", "k1")] == ["t1", "t1", "t2", "t1"]
        assert keys.authenticate(CLOSED, shows("k3")).unwrap().rank_on(CLOSED) == 0
        assert keys.authenticate(CLOSED, shows("k1")).unwrap().rank_on(CLOSED) == CLOSED["rank"]

    def test_a_missing_an_unknown_and_a_digest_for_a_key_are_refused(self) -> None:
        keys, _ = keys_of({"t1": tenant("k1")})
        refused: list[Headers] = [[], shows("k2"), shows("k1 k1"), shows(key_digest(b"k1")), shows("k1") + shows("k2")]
        assert [keys.authenticate(CLOSED, headers) for headers in refused] == [UNKNOWN] * len(refused)

    def test_with_tenants_but_none_of_them_there_every_key_is_unknown(self) -> None:
        keys, _ = keys_of({})
        assert keys.authenticate(CLOSED, shows("k1")) == UNKNOWN

    def test_a_public_route_and_a_configuration_without_tenants_need_none(self) -> None:
        keys, view = keys_of({"t1": tenant("k1")})
        assert keys.authenticate(OPEN, []) == keys.authenticate(OPEN, shows("k1")) == Ok(PUBLIC)
        put(view, None)
        assert keys.authenticate(CLOSED, []) == keys.authenticate(CLOSED, shows("k1")) == Ok(WITHOUT_TENANTS)

    def test_a_revision_adds_takes_away_and_moves_keys(self) -> None:
        first = {"t1": tenant("k1", "k2"), "t2": tenant("k3"), "t3": tenant("k4")}
        keys, view = keys_of(first)
        assert [name_of(keys, shows(f"k{n}")) for n in range(1, 6)] == ["t1", "t1", "t2", "t3", None]
        # k2 moves to a tenant before and k3 to one behind; k1 is taken away, k5 is new, t3 stays as it is.
        put(view, {"t0": tenant("k2"), "t1": tenant("k5"), "t2": tenant(), "t3": first["t3"], "t4": tenant("k3")})
        assert [name_of(keys, shows(f"k{n}")) for n in range(1, 6)] == [None, "t0", "t4", "t3", "t1"]
        put(view, {"t3": first["t3"]})
        assert [name_of(keys, shows(f"k{n}")) for n in range(1, 6)] == [None, None, None, "t3", None]
        assert list(keys.holders.values()) == ["t3"]

    def test_it_is_the_same_as_anew_after_a_snapshot(self) -> None:
        tenants = {"t1": tenant("k1"), "t2": tenant("k2")}
        keys, view = keys_of(tenants)
        assert name_of(keys, shows("k1")) == "t1"
        put(view, copy.deepcopy(tenants) | {"t2": tenant("k3")})
        assert [name_of(keys, shows(key)) for key in ("k1", "k2", "k3")] == ["t1", None, "t2"]

    def test_unknown_keys_are_not_remembered(self) -> None:
        keys, _ = keys_of({"t1": tenant("k1")})
        for n in range(1000):
            keys.authenticate(CLOSED, shows(f"x{n}"))
        keys.authenticate(CLOSED, shows("k1"))
        assert list(keys.seen) == [b"k1"]

    def test_no_key_stands_in_an_identity(self) -> None:
        keys, _ = keys_of({"t1": tenant("secret-key")})
        assert "secret-key" not in repr(keys.authenticate(CLOSED, shows("secret-key")))


class Test_authenticate_for_job:
    def test_any_known_key_will_do_and_none_is_needed_where_a_public_route_takes_jobs(self) -> None:
        keys, _ = keys_of({"t1": tenant("k1")})
        lots, open_lots = route("lot", "/l/"), route("lot", "/l/", public=True)
        assert keys.authenticate_for_job([CLOSED, lots], shows("k1")).unwrap().tenant == "t1"
        assert keys.authenticate_for_job([], shows("k1")).unwrap().tenant == "t1"
        assert keys.authenticate_for_job([OPEN, lots], []) == UNKNOWN
        assert keys.authenticate_for_job([lots, open_lots], shows("k2")) == Ok(PUBLIC)
        assert keys.authenticate_for_job([open_lots], shows("k1")).unwrap().tenant == "t1"

    def test_without_tenants_nobody_needs_one(self) -> None:
        keys, _ = keys_of(None)
        assert keys.authenticate_for_job([], []) == Ok(WITHOUT_TENANTS)


class Test_standing:
    def test_a_key_is_held_withdrawn_or_another_tenants(self) -> None:
        keys, view = keys_of({"t1": tenant("k1", "k2"), "t2": tenant()})
        client = keys.authenticate(CLOSED, shows("k1")).unwrap()
        assert keys.standing(CLOSED, client) is KeyStanding.HELD
        put(view, {"t1": tenant("k2"), "t2": tenant()})
        assert keys.standing(CLOSED, client) is KeyStanding.WITHDRAWN
        put(view, {"t1": tenant("k2"), "t2": tenant("k1")})
        assert keys.standing(CLOSED, client) is KeyStanding.CHANGED
        put(view, {"t1": tenant("k1", rank=3)})
        assert keys.standing(CLOSED, client) is KeyStanding.HELD
        put(view, None)
        assert keys.standing(CLOSED, client) is KeyStanding.CHANGED

    def test_what_needed_no_key_may_need_one_now(self) -> None:
        keys, view = keys_of(None)
        client = keys.authenticate(CLOSED, []).unwrap()
        assert keys.standing(CLOSED, client) is KeyStanding.HELD
        put(view, {"t1": tenant("k1")})
        assert keys.standing(CLOSED, client) is KeyStanding.CHANGED
        public = keys.authenticate(OPEN, []).unwrap()
        assert keys.standing(OPEN, public) is KeyStanding.HELD
        assert keys.standing(CLOSED, public) is KeyStanding.CHANGED
