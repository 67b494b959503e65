// CONFIG: the routers' open connections to the store go silent, and the operator takes a key away right after. Requests
// with that key are sent all the while.
import { writeFileSync } from "node:fs";
import { Client } from "../support/client.mjs";
import { bounds, CannotRunError, configuration, startRouters, waitUntil } from "../support/deployment.mjs";
import { delay, EngineReplica, PlainReplica } from "../support/replicas.mjs";
import { Proxy } from "../support/proxy.mjs";
import { Store } from "../support/store.mjs";

const trouble = process.env.TROUBLE !== "0";
const routerCount = 5;
const clientsPerRouter = 2;
/** Routers renew their registrations about this often; all start together, so their renewals are close together. */
const renewalMilliseconds = 4_000;
/** Allowed beyond the rule's bounds for delays of the test itself. */
const toleranceMilliseconds = 100;

const store = new Store();
const proxy = new Proxy();
const replicas = [];
const clients = [];
let routers = [];
const results = [];
const lines = [];
/** Output of the routers, if the case could not run. */
const logs = [];
let code = 2;
try {
    const storePort = await store.start();
    proxy.targetPort = storePort;
    const proxyPort = await proxy.start();
    replicas.push(new EngineReplica("engine-1", "pool", "zone-1", store));
    replicas.push(new PlainReplica("app-1", "app", "zone-1", store, 20));
    replicas.push(new PlainReplica("app-2", "app", "zone-2", store, 20));
    for (const replica of replicas) {
        await replica.start();
    }
    store.put("op/config", configuration(7));
    routers = await startRouters(routerCount, proxyPort);
    for (const router of routers) {
        await waitUntil(() => router.isReady(), `readiness of ${router.name}`);
    }
    let running = true;
    const loops = routers.flatMap(router =>
        Array.from({ length: clientsPerRouter }, async () => {
            const client = new Client();
            clients.push(client);
            while (running) {
                results.push(await client.send(router, "POST", "/book/docket", { body: "docket" }));
                await delay(30);
            }
        })
    );
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
    running = false;
    await Promise.all(loops);

    const inTouchAt = trouble ? silentAt + bounds.contact_ms : 0;
    const bound = Math.max(inTouchAt, confirmedAt + bounds.config_apply_ms) + toleranceMilliseconds;
    const ran = new Set(replicas.flatMap(({ runs }) => runs.map(({ id }) => id)));
    lines.push(`connections to the store that went silent: ${silenced}`);
    lines.push(`key taken away (version 9) ${confirmedAt - silentAt} ms after that; bound for requests: `
        + `${bound - silentAt} ms after it, with a tolerance of ${toleranceMilliseconds} ms`);
    let broken = 0;
    for (const router of routers) {
        const own = results.filter(result => result.router === router.name);
        const before = own.filter(({ sentAt, status }) => sentAt < silentAt && status === 200).length;
        const late = own.filter(({ id, sentAt }) => sentAt > bound && ran.has(id));
        const lastAt = Math.max(...own.filter(({ id }) => ran.has(id)).map(({ sentAt }) => sentAt));
        const refused = own.filter(({ status }) => status === 401).length;
        broken += late.length;
        lines.push(`${router.name}: ${before} served before, ${refused} refused with 401 later; last request with the `
            + `removed key that ran was sent after ${lastAt - silentAt} ms; ${late.length} ran after the bound`);
        if (before < 20 || refused < 20) {
            throw new CannotRunError(`too little traffic at ${router.name}`);
        }
    }
    code = broken > 0 ? 1 : 0;
}
catch (error) {
    lines.push(`could not run: ${error.stack}`);
    logs.push(...routers.map(router => router.output.slice(-4_000)));
}
finally {
    clients.forEach(client => client.stop());
    await Promise.all(routers.map(router => router.stop()));
    replicas.forEach(replica => replica.stop());
    proxy.stop();
    store.stop();
    lines.push(`exit ${code}`);
    const log = results.map(({ id, router, path, status, error, sentAt, endedAt }) =>
        [id, router, path, status ?? "-", error ?? "", sentAt, endedAt].join(" ")
    );
    const arrivals = replicas.flatMap(({ id, runs }) => runs.map(run => `${run.at} ${id} ran ${run.id}`));
    writeFileSync("record.txt", [...lines, "", "requests:", ...log, "", "runs:", ...arrivals, "", ...logs].join("\n"));
    console.log(lines.join("\n"));
    process.exit(code);
}
