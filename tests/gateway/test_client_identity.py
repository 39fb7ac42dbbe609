"""Tests of postpass.gateway.client_identity: which tenant's key a client presents, by the configuration in force."""

from __future__ import annotations

import copy
from typing import Any

import pytest
from result import Err, Ok

from postpass.configuration.configuration import Route
from postpass.configuration.tenant_keys import key_digest
from postpass.feed.configuration_view import ConfigurationView
from postpass.gateway.attempts import KeyStatus
from postpass.gateway.client_identity import PUBLIC, WITHOUT_TENANTS, ClientKeys, KeyRefusal, presented_key
from postpass.gateway.http_headers import Headers
from tests.gateway.test_relay import relay_configuration, route

KEYED_ROUTE: Route = route("idem", "/i/")
PUBLIC_ROUTE: Route = route("idem", "/p/", public=True)
UNKNOWN = Err(KeyRefusal.UNKNOWN)


def tenant(*keys: str, **fields: Any) -> dict[str, Any]:
    return {"keys": [key_digest(key.encode()) for key in keys], "rate": 0.0, "burst": 0.0} | fields


def bearer_header(key: str) -> Headers:
    return [(b"authorization", b"Bearer " + key.encode())]


def client_keys(tenants: dict[str, Any] | None) -> tuple[ClientKeys, ConfigurationView]:
    view = ConfigurationView("e")
    apply_tenants(view, tenants)
    return ClientKeys(view), view


def apply_tenants(view: ConfigurationView, tenants: dict[str, Any] | None) -> None:
    configuration: Any = view.manifest or relay_configuration(["w"])
    configuration = {key: value for key, value in configuration.items() if key != "tenants"}
    if tenants is not None:
        configuration["tenants"] = tenants
    assert view.accept(view.revision + 1, configuration)


def tenant_of(keys: ClientKeys, headers: Headers, at: Route = KEYED_ROUTE) -> str | None:
    return keys.authenticate(at, headers).map(lambda client: client.tenant).unwrap_or(None)


class Test_presented_key:
    @pytest.mark.parametrize("scheme", [b"Bearer", b"bearer", b"BEARER"])
    def test_the_scheme_is_read_in_any_case(self, scheme: bytes) -> None:
        assert presented_key([(b"authorization", scheme + b" k1 ")]) == b"k1"

    @pytest.mark.parametrize("value", [b"", b"Bearer", b"Bearer ", b"k1", b"Basic k1", b"Bearer:k1", b"Bearer\tk1"])
    def test_any_other_value_presents_no_key(self, value: bytes) -> None:
        assert presented_key([(b"authorization", value)]) is None

    def test_two_headers_present_no_key_even_if_they_agree(self) -> None:
        assert presented_key(bearer_header("k1") + bearer_header("k1")) is None
        assert presented_key([]) is None


class Test_authenticate:
    def test_each_key_is_its_tenants(self) -> None:
        keys, _ = client_keys({"t1": tenant("k1", "k2"), "t2": tenant("k3", rank=0)})
        assert [tenant_of(keys, bearer_header(key)) for key in ("k1", "k2", "k3", "k1")] == ["t1", "t1", "t2", "t1"]
        assert keys.authenticate(KEYED_ROUTE, bearer_header("k3")).unwrap().rank_on(KEYED_ROUTE) == 0
        assert keys.authenticate(KEYED_ROUTE, bearer_header("k1")).unwrap().rank_on(KEYED_ROUTE) == KEYED_ROUTE["rank"]

    def test_a_missing_an_unknown_and_a_digest_for_a_key_are_refused(self) -> None:
        keys, _ = client_keys({"t1": tenant("k1")})
        refused: list[Headers] = [
            [],
            bearer_header("k2"),
            bearer_header("k1 k1"),
            bearer_header(key_digest(b"k1")),
            bearer_header("k1") + bearer_header("k2"),
        ]
        assert [keys.authenticate(KEYED_ROUTE, headers) for headers in refused] == [UNKNOWN] * len(refused)

    def test_with_an_empty_list_of_tenants_every_key_is_unknown(self) -> None:
        keys, _ = client_keys({})
        assert keys.authenticate(KEYED_ROUTE, bearer_header("k1")) == UNKNOWN

    def test_a_public_route_and_a_configuration_without_tenants_need_none(self) -> None:
        keys, view = client_keys({"t1": tenant("k1")})
        assert keys.authenticate(PUBLIC_ROUTE, []) == keys.authenticate(PUBLIC_ROUTE, bearer_header("k1")) == Ok(PUBLIC)
        apply_tenants(view, None)
        assert (
            keys.authenticate(KEYED_ROUTE, [])
            == keys.authenticate(KEYED_ROUTE, bearer_header("k1"))
            == Ok(WITHOUT_TENANTS)
        )

    def test_a_revision_adds_takes_away_and_moves_keys(self) -> None:
        first = {"t1": tenant("k1", "k2"), "t2": tenant("k3"), "t3": tenant("k4")}
        keys, view = client_keys(first)
        assert [tenant_of(keys, bearer_header(f"k{n}")) for n in range(1, 6)] == ["t1", "t1", "t2", "t3", None]
        # k2 moves to a tenant earlier in the configuration and k3 to a later one; k1 is removed, k5 is new, t3 is unchanged.
        apply_tenants(
            view, {"t0": tenant("k2"), "t1": tenant("k5"), "t2": tenant(), "t3": first["t3"], "t4": tenant("k3")}
        )
        assert [tenant_of(keys, bearer_header(f"k{n}")) for n in range(1, 6)] == [None, "t0", "t4", "t3", "t1"]
        apply_tenants(view, {"t3": first["t3"]})
        assert [tenant_of(keys, bearer_header(f"k{n}")) for n in range(1, 6)] == [None, None, None, "t3", None]
        assert list(keys.tenant_by_digest.values()) == ["t3"]

    def test_a_snapshot_that_shares_no_objects_gives_the_same_keys(self) -> None:
        tenants = {"t1": tenant("k1"), "t2": tenant("k2")}
        keys, view = client_keys(tenants)
        assert tenant_of(keys, bearer_header("k1")) == "t1"
        apply_tenants(view, copy.deepcopy(tenants) | {"t2": tenant("k3")})
        assert [tenant_of(keys, bearer_header(key)) for key in ("k1", "k2", "k3")] == ["t1", None, "t2"]

    def test_unknown_keys_are_not_remembered(self) -> None:
        keys, _ = client_keys({"t1": tenant("k1")})
        for n in range(1000):
            keys.authenticate(KEYED_ROUTE, bearer_header(f"x{n}"))
        keys.authenticate(KEYED_ROUTE, bearer_header("k1"))
        assert list(keys.identities) == [b"k1"]

    def test_an_identity_does_not_contain_the_key(self) -> None:
        keys, _ = client_keys({"t1": tenant("secret-key")})
        assert "secret-key" not in repr(keys.authenticate(KEYED_ROUTE, bearer_header("secret-key")))


class Test_authenticate_for_job:
    def test_any_known_key_will_do_and_none_is_needed_where_a_public_route_takes_jobs(self) -> None:
        keys, _ = client_keys({"t1": tenant("k1")})
        job_route, public_job_route = route("lot", "/l/"), route("lot", "/l/", public=True)
        assert keys.authenticate_for_job([KEYED_ROUTE, job_route], bearer_header("k1")).unwrap().tenant == "t1"
        assert keys.authenticate_for_job([], bearer_header("k1")).unwrap().tenant == "t1"
        assert keys.authenticate_for_job([PUBLIC_ROUTE, job_route], []) == UNKNOWN
        assert keys.authenticate_for_job([job_route, public_job_route], bearer_header("k2")) == Ok(PUBLIC)
        assert keys.authenticate_for_job([public_job_route], bearer_header("k1")).unwrap().tenant == "t1"

    def test_without_tenants_nobody_needs_one(self) -> None:
        keys, _ = client_keys(None)
        assert keys.authenticate_for_job([], []) == Ok(WITHOUT_TENANTS)


class Test_key_status:
    def test_a_key_is_held_withdrawn_or_another_tenants(self) -> None:
        keys, view = client_keys({"t1": tenant("k1", "k2"), "t2": tenant()})
        client = keys.authenticate(KEYED_ROUTE, bearer_header("k1")).unwrap()
        assert keys.key_status(KEYED_ROUTE, client) is KeyStatus.VALID
        apply_tenants(view, {"t1": tenant("k2"), "t2": tenant()})
        assert keys.key_status(KEYED_ROUTE, client) is KeyStatus.WITHDRAWN
        apply_tenants(view, {"t1": tenant("k2"), "t2": tenant("k1")})
        assert keys.key_status(KEYED_ROUTE, client) is KeyStatus.CHANGED
        apply_tenants(view, {"t1": tenant("k1", rank=3)})
        assert keys.key_status(KEYED_ROUTE, client) is KeyStatus.VALID
        apply_tenants(view, None)
        assert keys.key_status(KEYED_ROUTE, client) is KeyStatus.CHANGED

    def test_what_needed_no_key_may_need_one_now(self) -> None:
        keys, view = client_keys(None)
        client = keys.authenticate(KEYED_ROUTE, []).unwrap()
        assert keys.key_status(KEYED_ROUTE, client) is KeyStatus.VALID
        apply_tenants(view, {"t1": tenant("k1")})
        assert keys.key_status(KEYED_ROUTE, client) is KeyStatus.CHANGED
        public = keys.authenticate(PUBLIC_ROUTE, []).unwrap()
        assert keys.key_status(PUBLIC_ROUTE, public) is KeyStatus.VALID
        assert keys.key_status(KEYED_ROUTE, public) is KeyStatus.CHANGED
