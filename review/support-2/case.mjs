/** Runs a case: its record, its time limit, and its exit code: 10 if the rule was broken, 0 if it held, 2 if it couldn't run. */
import { appendFileSync, writeFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { RouterFleet } from "./router.mjs";
import { host } from "./servers.mjs";
import { Store } from "./store.mjs";

const maximumMilliseconds = 115_000;
/** Node exits with 1 by itself if a script fails. */
const brokenCode = 10;

/** Whether the case brings its disruption about. */
export const trouble = process.env.TROUBLE !== "0";

/** `run` gets the deployment and a function that writes a line of the record; it returns whether the rule was broken. */
export async function runCase(caseUrl, run) {
    const record = fileURLToPath(new URL("record.txt", caseUrl));
    const write = line => {
        appendFileSync(record, `${(performance.now() / 1_000).toFixed(3)} ${line}\n`);
    };
    writeFileSync(record, "");
    const deployment = new Deployment();
    const limit = setTimeout(() => {
        write("not run: the time limit has passed");
        void deployment.stop().finally(() => process.exit(2));
    }, maximumMilliseconds);
    for (const signal of ["SIGINT", "SIGTERM"]) {
        process.once(signal, () => void deployment.stop().finally(() => process.exit(2)));
    }
    let code = 2;
    try {
        await deployment.start();
        const broken = await run(deployment, write);
        code = broken ? brokenCode : 0;
        write(broken ? "the rule was broken" : "the rule held");
    }
    catch (error) {
        write(`not run: ${error.stack}`);
    }
    clearTimeout(limit);
    await deployment.stop();
    process.exit(code);
}

class Deployment {
    store = new Store();
    servers = [];

    async start() {
        this.fleet = new RouterFleet(await this.store.start(host));
    }

    async addServers(servers) {
        for (const server of servers) {
            await server.start();
            this.servers.push(server);
        }
        return servers;
    }

    publish(configuration) {
        this.store.put("op/config", configuration);
    }

    /** Starts routers and waits until the platform would send them clients. */
    async startRouters(names) {
        const routers = [];
        for (const [name, zone] of names) {
            routers.push(await this.fleet.add(name, zone));
        }
        routers.forEach(router => router.start());
        await Promise.all(routers.map(router => router.waitUntilReady()));
        return routers;
    }

    async stop() {
        await this.fleet?.stop();
        this.store.stop();
        this.servers.forEach(server => server.stop());
    }
}
