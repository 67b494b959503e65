// What all cases share: a deployment of stand-ins and routers, traffic from clients, and the record of a run.
import { writeFileSync } from "node:fs";
import { Client } from "./client.mjs";
import { CannotRunError, configuration, startRouters, waitUntil } from "./deployment.mjs";
import { delay } from "./replicas.mjs";
import { Store } from "./store.mjs";

/** Whether the disruption is played; without it, the same traffic must keep the rule. */
export const trouble = process.env.TROUBLE !== "0";

const configurationVersion = 7;
/** Exit code of a process whose run broke the rule. Node.js itself ends with 1 on errors, which must not look like that. */
const brokenCode = 10;
const logTailCharacters = 4_000;

class Case {
    store = new Store();
    replicas = [];
    routers = [];
    /** What became of each request, in the order in which they ended. */
    results = [];
    /** Summary of the run. */
    lines = [];
    /** Further lines of the record. */
    events = [];
    #clients = [];
    #loops = [];
    #sending = true;

    /**
     * Starts the replicas and the routers, and waits until all routers are ready. `storePortFor` returns the port at which
     * routers reach the store, if that isn't the store's own.
     */
    async start(replicas, routerCount, storePortFor = port => port) {
        const storePort = await this.store.start();
        for (const replica of replicas) {
            this.replicas.push(replica);
            await replica.start();
        }
        this.store.put("op/config", configuration(configurationVersion));
        this.routers = await startRouters(routerCount, await storePortFor(storePort));
        for (const router of this.routers) {
            await waitUntil(() => router.isReady(), `readiness of ${router.name}`);
        }
    }

    newClient() {
        const client = new Client();
        this.#clients.push(client);
        return client;
    }

    /** Runs `count` clients at the router; each sends one request after the other until `endTraffic` is called. */
    sendInLoops(count, router, send, pauseMilliseconds = 5) {
        for (let number = 0; number < count; number++) {
            this.#loops.push(this.#sendInLoop(this.newClient(), router, send, pauseMilliseconds));
        }
    }

    async #sendInLoop(client, router, send, pauseMilliseconds) {
        while (this.#sending) {
            const result = await send(client, router);
            this.results.push(result);
            await delay(result.error === undefined ? pauseMilliseconds : 100);
        }
    }

    async endTraffic() {
        this.#sending = false;
        await Promise.all(this.#loops);
    }

    /** The replica at which each request ran, by the request's ID. */
    get runs() {
        return new Map(this.replicas.flatMap(({ id, runs }) => runs.map(run => [run.id, id])));
    }

    get served() {
        return this.results.filter(({ status, complete }) => status === 200 && complete);
    }

    /** Throws if so little was served that the rule's check would say nothing. */
    expectServed(count) {
        if (this.served.length < count) {
            throw new CannotRunError(`only ${this.served.length} requests were served`);
        }
    }

    async stop() {
        this.#sending = false;
        this.#clients.forEach(client => client.stop());
        await Promise.all(this.routers.map(router => router.stop()));
        this.replicas.forEach(replica => replica.stop());
        this.store.stop();
    }

    writeRecord() {
        const requests = this.results.map(({ id, router, path, status, complete, error, sentAt, endedAt }) =>
            [id, router, path, status ?? "-", complete ? "whole" : "cut", error ?? "", sentAt, endedAt].join(" ")
        );
        const runs = this.replicas.flatMap(({ id, runs: own }) => own.map(run => `${run.at} ${id} ran ${run.id}`));
        const sections = [this.lines, ["events:", ...this.events], ["requests:", ...requests], ["runs:", ...runs]];
        writeFileSync("record.txt", `${sections.map(section => section.join("\n")).join("\n\n")}\n`);
    }
}

/**
 * `play` returns whether the rule was broken. Ends the process with 10 if so, which run.sh turns into 1; with 0 if not, and
 * with any other code if the case could not run.
 */
export async function runCase(play) {
    const test = new Case();
    let code = 2;
    try {
        code = await play(test) ? brokenCode : 0;
    }
    catch (error) {
        test.lines.push(`could not run: ${error.stack}`);
        test.events.push(...test.routers.map(router => router.output.slice(-logTailCharacters)));
    }
    await test.stop();
    test.lines.push(`result: ${{ 0: "the rule held", [brokenCode]: "the rule was broken" }[code] ?? "could not run"}`);
    test.writeRecord();
    console.log(test.lines.join("\n"));
    process.exit(code);
}

/** A booking, which isn't idempotent. */
export function book(client, router, { docket } = {}) {
    const path = docket === undefined ? "/book/docket" : `/book/docket?number=${docket}`;
    return client.send(router, "POST", path, { body: "docket" });
}

/** A stream that may be resumed. `parts` are the IDs of the parts of its prompt. */
export function grade(client, router, parts = ["a1", "b2"]) {
    return client.send(router, "POST", "/grade/load", {
        body: "prompt",
        deadlineMilliseconds: 20_000,
        headers: {
            "X-Model": "m",
            "X-Token-Counts": "800,80",
            "X-Prompt-Prefix": parts.map(part => `${part}:${Math.floor(800 / parts.length)}`).join(","),
        },
    });
}
