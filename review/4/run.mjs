// REFUSED: one replica of three runs part of its bookings and then fails them with 503, without the header that says that a
// request has not run. Clients repeat a booking once after a promise that it has not run.
import { writeFileSync } from "node:fs";
import { Client } from "../support/client.mjs";
import { CannotRunError, configuration, startRouters, waitUntil } from "../support/deployment.mjs";
import { delay, EngineReplica, PlainReplica } from "../support/replicas.mjs";
import { Store } from "../support/store.mjs";

const trouble = process.env.TROUBLE !== "0";
/** Doses of `srv_grey` in the kinds of the site: one of three replicas, 4 in 10 of its answers, for 5 s. */
const failedShare = 0.4;
const troubleMilliseconds = 5_000;
const clientsPerRouter = 6;
const promises = new Set([408, 421, 429, 503]);

class GreyReplica extends PlainReplica {
    faulty = false;
    failed = 0;
    #answers = 0;

    async run(request, body, response) {
        this.#answers++;
        if (!this.faulty || Math.floor(this.#answers * failedShare) === Math.floor((this.#answers - 1) * failedShare)) {
            await super.run(request, body, response);
            return;
        }
        this.failed++;
        this.runs.push({ id: request.headers["x-attempt-id"], at: Date.now() });
        await delay(this.workMilliseconds);
        const text = "booked, but the confirmation could not be printed";
        response.writeHead(503, { ...this.answerHeaders(request), "Content-Length": text.length }).end(text);
    }
}

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
    const grey = new GreyReplica("app-1", "app", "zone-1", store, 45);
    replicas.push(
        grey,
        new PlainReplica("app-2", "app", "zone-2", store, 45),
        new PlainReplica("app-3", "app", "zone-1", store, 45),
        new EngineReplica("engine-1", "pool", "zone-1", store),
    );
    for (const replica of replicas) {
        await replica.start();
    }
    store.put("op/config", configuration(7));
    routers = await startRouters(2, storePort);
    for (const router of routers) {
        await waitUntil(() => router.isReady(), `readiness of ${router.name}`);
    }
    let running = true;
    let dockets = 0;
    const book = async (client, router, docket) => {
        const result = await client.send(router, "POST", `/book/docket?number=${docket}`, { body: `docket ${docket}` });
        results.push({ ...result, docket });
        return result;
    };
    const loops = routers.flatMap(router =>
        Array.from({ length: clientsPerRouter }, async () => {
            const client = new Client();
            clients.push(client);
            while (running) {
                const docket = ++dockets;
                const { status, headers } = await book(client, router, docket);
                if (promises.has(status)) {
                    await delay(Number(headers["retry-after"] ?? 0) * 1_000);
                    await book(client, router, docket);
                }
                await delay(20);
            }
        })
    );
    await delay(2_000);
    grey.faulty = trouble;
    await delay(troubleMilliseconds);
    grey.faulty = false;
    await delay(2_000);
    running = false;
    await Promise.all(loops);

    const ran = new Map(replicas.flatMap(({ id, runs }) => runs.map(run => [run.id, id])));
    const refused = results.filter(({ id, status }) => promises.has(status) && ran.has(id));
    const runsByDocket = new Map();
    results.filter(({ id }) => ran.has(id)).forEach(({ docket }) =>
        runsByDocket.set(docket, (runsByDocket.get(docket) ?? 0) + 1)
    );
    const twice = [...runsByDocket.values()].filter(count => count > 1).length;
    const served = results.filter(({ status }) => status === 200).length;
    lines.push(`${results.length} bookings sent, ${served} answered with 200; ${grey.failed} run and failed by the replica`);
    lines.push(`${refused.length} were answered with 408, 421, 429 or 503 and had run; ${twice} dockets were booked twice, `
        + "because the client came back after that promise");
    refused.slice(0, 20).forEach(({ id, docket, status, headers }) =>
        lines.push(`  ${id} docket ${docket} ran at ${ran.get(id)}, answered ${status}, seal ${headers["x-replica-seal"]}`)
    );
    if (served < 200) {
        throw new CannotRunError("too little traffic was served");
    }
    code = refused.length > 0 ? 1 : 0;
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
