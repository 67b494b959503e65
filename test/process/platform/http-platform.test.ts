import { afterEach, beforeEach, describe, expect, jest, test } from "@jest/globals";
import type { KeyValueService, VmEntry, VmList, WatchEvent } from "../../../src/domain/platform.js";
import { LeaseLostError, PlatformUnavailableError, ValueTooLargeError } from "../../../src/errors/index.js";
import { HttpKeyValueService, HttpPlatformClient, HttpVmList } from "../../../src/process/platform/index.js";
import { Availability, PlatformServer, StandInPlatform } from "../../../src/stand-ins/platform/index.js";

const timeout = 10_000;
const bytes = (text: string) => new TextEncoder().encode(text);
const text = (value: Uint8Array | undefined) => new TextDecoder().decode(value);

const vm: VmEntry = {
    id: "vm-1",
    kind: "backend-server",
    address: "http://127.0.0.1:9000",
    region: "perth",
    availabilityZone: "a",
    className: "small",
    state: "live",
    incarnation: 1,
};

function nextEvent(service: KeyValueService, prefix: string, after: number): Promise<WatchEvent> {
    return new Promise((resolve, reject) => {
        const subscription = service.watch(prefix, after).subscribe({
            next: event => {
                subscription.unsubscribe();
                resolve(event);
            },
            error: reject,
            complete: () => undefined,
        });
    });
}

describe.each(["in process", "over HTTP"])("the key-value service %s", kind => {
    let platform: StandInPlatform;
    let server: PlatformServer;
    let client: HttpPlatformClient;
    let service: KeyValueService;
    let vmList: VmList;

    beforeEach(async () => {
        jest.useRealTimers();
        platform = new StandInPlatform();
        server = new PlatformServer(platform);
        await server.start();
        client = new HttpPlatformClient([server.address]);
        service = kind === "in process" ? platform : new HttpKeyValueService(client);
        vmList = kind === "in process" ? platform.vmList : new HttpVmList(client);
    });

    afterEach(async () => {
        await client.close();
        await server.stop();
        platform.close();
    });

    function put(key: string, value: string, revision: number) {
        return service.transact({
            conditions: [{ key, revision }],
            writes: [{ kind: "put", key, value: bytes(value) }],
        }, timeout);
    }

    test("writes by compare-and-swap and lists in key order", async () => {
        const first = await put("a/2", "two", 0);
        expect(first.succeeded).toBe(true);
        expect((await put("a/2", "lost", 0)).succeeded).toBe(false);
        expect((await put("a/1", "one", 0)).succeeded).toBe(true);
        expect((await put("b/1", "other", 0)).succeeded).toBe(true);
        expect((await service.list("a/", timeout)).map(entry => [entry.key, text(entry.value)])).toEqual([
            ["a/1", "one"],
            ["a/2", "two"],
        ]);
        expect(await service.list("a/", timeout, 1)).toHaveLength(1);
        expect((await service.get("a/2", timeout))?.revision).toBe(first.revision);
        expect(await service.get("a/3", timeout)).toBeUndefined();
        expect(platform.counts).toMatchObject({ writes: 4, reads: 4 });
    });

    test("a watch emits the changes after a revision and counts as one call", async () => {
        const { revision } = await put("a/1", "one", 0);
        await put("a/1", "two", revision);
        const event = await nextEvent(service, "a/", revision);
        expect([event.kind, event.entry.key, text(event.entry.value)]).toEqual(["put", "a/1", "two"]);
        await service.transact({ conditions: [], writes: [{ kind: "delete", key: "a/1" }] }, timeout);
        expect((await nextEvent(service, "a/", event.entry.revision)).kind).toBe("delete");
        expect(platform.counts.watches).toBe(2);
    });

    test("a write whose response is lost may have taken effect, and the error says so", async () => {
        platform.faults.responsesToLose = 1;
        await expect(put("a", "one", 0)).rejects.toMatchObject({ mayHaveTakenEffect: true });
        expect(text((await service.get("a", timeout))?.value)).toBe("one");
    });

    test("revoking a lease deletes its keys, and a revoked lease cannot be kept alive", async () => {
        const leaseId = await service.grantLease(60_000, timeout);
        await service.transact({
            conditions: [],
            writes: [{ kind: "put", key: "held", value: bytes("x"), leaseId }],
        }, timeout);
        await service.keepLeaseAlive(leaseId, timeout);
        await service.revokeLease(leaseId, timeout);
        expect(await service.get("held", timeout)).toBeUndefined();
        await expect(service.keepLeaseAlive(leaseId, timeout)).rejects.toThrow(LeaseLostError);
        await expect(service.revokeLease(leaseId, timeout)).rejects.toThrow(LeaseLostError);
    });

    test("throws ValueTooLargeError over the limit and PlatformUnavailableError in an outage", async () => {
        const value = new Uint8Array(1_000_001);
        const write = service.transact({ conditions: [], writes: [{ kind: "put", key: "big", value }] }, timeout);
        await expect(write).rejects.toThrow(ValueTooLargeError);
        platform.faults.availability = Availability.refusing;
        await expect(service.get("a", timeout)).rejects.toThrow(PlatformUnavailableError);
        await expect(nextEvent(service, "a", 0)).rejects.toThrow(PlatformUnavailableError);
        platform.faults.availability = Availability.hanging;
        await expect(service.get("a", 20)).rejects.toThrow(PlatformUnavailableError);
    });

    test("lists the VMs of the platform", async () => {
        platform.setVms([vm]);
        expect(await vmList.list(timeout)).toEqual([vm]);
    });
});
