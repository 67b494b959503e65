// LOST: a router that is shutting down gets a second SIGTERM within its grace period. Clients go on using their open
// connections until the process is gone.
import { writeFileSync } from "node:fs";
import { Client } from "../support/client.mjs";
import { bounds, CannotRunError, configuration, startRouters, waitUntil } from "../support/deployment.mjs";
import { delay, EngineReplica, PlainReplica } from "../support/replicas.mjs";
import { Store } from "../support/store.mjs";

const trouble = process.env.TROUBLE !== "0";
const bookingClients = 8;
const streamClients = 8;
const secondSignalMilliseconds = 1_000;

const store = new Store();
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
    for (const number of [1, 2, 3]) {
        replicas.push(new PlainReplica(`app-${number}`, "app", `zone-${number % 2 + 1}`, store, 150));
    }
    for (const number of [1, 2]) {
        replicas.push(new EngineReplica(`engine-${number}`, "pool", `zone-${number}`, store));
    }
    for (const replica of replicas) {
        await replica.start();
    }
    store.put("op/config", configuration(7));
    routers = await startRouters(2, storePort);
    for (const router of routers) {
        await waitUntil(() => router.isReady(), `readiness of ${router.name}`);
    }
    let running = true;
    const loop = async (router, send) => {
        const client = new Client();
        clients.push(client);
        while (running) {
            const result = await send(client, router);
            results.push(result);
            await delay(result.status === 200 ? 5 : 100);
        }
    };
    const book = (client, router) => client.send(router, "POST", "/book/docket", { body: "docket" });
    const grade = (client, router) =>
        client.send(router, "POST", "/grade/load", {
            body: "prompt",
            deadlineMilliseconds: 20_000,
            headers: { "X-Model": "m", "X-Token-Counts": "800,80", "X-Prompt-Prefix": "a1:40,b2:760" },
        });
    const [router] = routers;
    const loops = [
        ...Array.from({ length: bookingClients }, () => loop(router, book)),
        ...Array.from({ length: streamClients }, () => loop(router, grade)),
    ];
    await delay(3_000);
    const stoppedAt = Date.now();
    router.signal("SIGTERM");
    await delay(secondSignalMilliseconds);
    if (trouble) {
        router.signal("SIGTERM");
    }
    // What the platform does at the end of the grace period.
    const { process: stopping } = router;
    await delay(bounds.grace_s * 1_000 - secondSignalMilliseconds);
    stopping.kill("SIGKILL");
    await waitUntil(() => router.process !== stopping && router.isReady(), "the next start");
    await delay(1_000);
    running = false;
    await Promise.all(loops);

    const ran = new Set(replicas.flatMap(({ runs }) => runs.map(({ id }) => id)));
    const planned = ({ endedAt }) => endedAt >= stoppedAt && endedAt <= stoppedAt + bounds.grace_s * 1_000 + 1_000;
    const lost = results.filter(result => planned(result) && ran.has(result.id) && !result.complete
        && result.error !== "client's time limit");
    const served = results.filter(({ status, complete }) => status === 200 && complete);
    lines.push(`${results.length} requests sent, ${served.length} served whole, of these `
        + `${served.filter(({ sentAt }) => sentAt > stoppedAt && sentAt < stoppedAt + 8_000).length} sent after the SIGTERM`);
    const { at, code: exitCode, signal } = router.exits[0];
    lines.push(`the process ended ${at - stoppedAt} ms after the first SIGTERM (code ${exitCode}, signal ${signal})`);
    lines.push(`${lost.length} requests had been passed on to a replica, and their connection ended without a complete answer`);
    lost.forEach(({ id, path, status, sentAt, endedAt, error }) =>
        lines.push(`  lost: ${id} ${path} sent ${sentAt - stoppedAt} ended ${endedAt - stoppedAt} status ${status ?? "-"} `
            + error)
    );
    if (served.length < 100) {
        throw new CannotRunError("too little traffic was served");
    }
    code = lost.length > 0 ? 1 : 0;
}
catch (error) {
    lines.push(`could not run: ${error.stack}`);
    logs.push(...routers.map(router => router.output.slice(-4_000)));
}
finally {
    clients.forEach(client => client.stop());
    await Promise.all(routers.map(router => router.stop()));
    replicas.forEach(replica => replica.stop());
    store.stop();
    lines.push(`exit ${code}`);
    const log = results.map(({ id, router, path, status, complete, error, sentAt, endedAt }) =>
        [id, router, path, status ?? "-", complete ? "whole" : "cut", error ?? "", sentAt, endedAt].join(" ")
    );
    const arrivals = replicas.flatMap(({ id, runs }) => runs.map(run => `${run.at} ${id} ran ${run.id}`));
    writeFileSync("record.txt", [...lines, "", "requests:", ...log, "", "runs:", ...arrivals, "", ...logs].join("\n"));
    console.log(lines.join("\n"));
    process.exit(code);
}
