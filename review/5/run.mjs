// CONFIG: the routers' open connections to the store go silent, and the operator takes a key away right after. Requests
// with that key are sent all the while.
import { book, runCase, trouble } from "../support/case.mjs";
import { bounds, CannotRunError, configuration } from "../support/deployment.mjs";
import { Proxy } from "../support/proxy.mjs";
import { delay, EngineReplica, PlainReplica } from "../support/replicas.mjs";

const routerCount = 5;
const clientsPerRouter = 2;
/** Routers renew their registrations about this often; all start together, so their renewals are close together. */
const renewalMilliseconds = 4_000;
/** Allowed beyond the rule's bounds for delays of the test itself. */
const toleranceMilliseconds = 100;
/** Requests of each router before and after the change, below which the check would say nothing. */
const minimumRequests = 20;

await runCase(async test => {
    const { store, lines, results } = test;
    let proxy;
    await test.start(
        [
            new EngineReplica("engine-1", "pool", "zone-1", store),
            new PlainReplica("app-1", "app", "zone-1", store, 20),
            new PlainReplica("app-2", "app", "zone-2", store, 20),
        ],
        routerCount,
        storePort => {
            proxy = new Proxy(storePort);
            return proxy.start();
        },
    );
    for (const router of test.routers) {
        test.sendInLoops(clientsPerRouter, router, book, 30);
    }
    const renewals = new Map();
    store.onCall = (call, port) => {
        if (call === "kv-keep") {
            renewals.set(port, [...renewals.get(port) ?? [], Date.now()]);
        }
    };
    await delay(renewalMilliseconds + 1_000);

    // A moment just after the routers have renewed their registrations. The placement leader renews its lease more often.
    const last = Math.max(...[...renewals.values()].filter(times => times.length <= 2).map(times => times.at(-1)));
    await delay(last + renewalMilliseconds - 70 - Date.now());
    store.put("op/config", configuration(8));
    await delay(120);
    const silentAt = Date.now();
    const silenced = trouble ? proxy.silenceOpenConnections() : 0;
    await delay(100);
    store.put("op/config", configuration(9, { tenants: [{ name: "haddow", api_keys: ["another-key"], priority: 1 }] }));
    const confirmedAt = Date.now();
    await delay(8_000);
    await test.endTraffic();
    proxy.stop();

    const inTouchAt = trouble ? silentAt + bounds.contact_ms : 0;
    const bound = Math.max(inTouchAt, confirmedAt + bounds.config_apply_ms) + toleranceMilliseconds;
    const { runs } = test;
    lines.push(`connections to the store that went silent: ${silenced}`);
    lines.push(
        `key taken away (version 9) ${confirmedAt - silentAt} ms after that; bound for requests: ${
            bound - silentAt
        } ms after `
            + `it, with a tolerance of ${toleranceMilliseconds} ms`,
    );
    let broken = 0;
    for (const { name } of test.routers) {
        const own = results.filter(({ router }) => router === name);
        const before = own.filter(({ sentAt, status }) => sentAt < silentAt && status === 200).length;
        const refused = own.filter(({ status }) => status === 401).length;
        const sentOfRuns = own.filter(({ id }) => runs.has(id)).map(({ sentAt }) => sentAt);
        const late = sentOfRuns.filter(sentAt => sentAt > bound).length;
        broken += late;
        lines.push(
            `${name}: ${before} served before, ${refused} refused with 401 later; last request with the removed key that ran `
                + `was sent after ${Math.max(...sentOfRuns) - silentAt} ms; ${late} ran after the bound`,
        );
        if (before < minimumRequests || refused < minimumRequests) {
            throw new CannotRunError(`too little traffic at ${name}`);
        }
    }
    return broken > 0;
});
