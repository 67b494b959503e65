/**
 * The operator takes the key of the deployment's only customer away, by a version whose list of customers is empty. The case
 * counts the bookings that run afterwards with that key, and those that run with a key that no configuration ever held.
 */
import { runCase, trouble } from "../support-2/case.mjs";
import { countBy, sendSteadily } from "../support-2/client.mjs";
import { configuration } from "../support-2/configuration.mjs";
import { AppServer, Engine, sleep } from "../support-2/servers.mjs";

const configurationApplyMilliseconds = 2_000;
const beforeMilliseconds = 3_000;
const afterMilliseconds = 8_000;
const bookingsPerSecond = 5;
const unknownKey = "q9w8e7r6t5y4u3i2o1p0";

await runCase(import.meta.url, async (deployment, write) => {
    const zones = ["kano-a", "kano-b", "kaduna-c"];
    const apps = zones.map(zone => new AppServer(deployment.store, { service: "app", zone, slots: 6 }));
    const engines = [1, 2].map(() => new Engine(deployment.store, { service: "pool", zone: "kano-a", slots: 134 }));
    await deployment.addServers([...apps, ...engines]);
    deployment.publish(configuration(7));
    const routers = await deployment.startRouters(zones.map(zone => [`edge-${zone}-1`, zone]));
    let next = 0;
    const routerOf = () => routers[next++ % routers.length];
    const time = beforeMilliseconds + afterMilliseconds;
    const withKey = sendSteadily(routerOf, "book", bookingsPerSecond, time);
    const withUnknownKey = sendSteadily(routerOf, "book", bookingsPerSecond, time, () => ({
        "Authorization": `Bearer ${unknownKey}`,
    }));
    await sleep(beforeMilliseconds);
    deployment.publish(configuration(9, trouble ? { tenants: [] } : {}));
    const confirmedAt = performance.now();
    write(`version 9 is confirmed${trouble ? "; it holds no customers" : "; it holds the same customers"}`);
    const ran = new Set();
    const results = (await Promise.all([withKey, withUnknownKey])).map((list, index) =>
        list.map(result => ({ ...result, known: index === 0 }))
    );
    apps.flatMap(({ runs }) => runs).forEach(({ id }) => ran.add(id));
    const all = results.flat().sort((left, right) => left.sentAt - right.sentAt);
    all.forEach(({ id, known, router, sentAt, status, error }) =>
        write(
            `booking ${id} with ${known ? "the customer's key" : "an unknown key"} to ${router} at ${
                (sentAt / 1_000).toFixed(3)
            }: ${status ?? error}, ${ran.has(id) ? "ran" : "not run"}`,
        )
    );
    const unknownThatRan = all.filter(({ known, id }) => !known && ran.has(id));
    const droppedThatRan = all.filter(({ known, id, sentAt }) =>
        known && trouble && ran.has(id) && sentAt > confirmedAt + configurationApplyMilliseconds
    );
    write(
        `bookings: ${
            JSON.stringify(
                countBy(all, ({ known, status, error }) => `${known ? "known" : "unknown"} key ${status ?? error}`),
            )
        }`,
    );
    write(`bookings that ran with a key that no configuration held: ${unknownThatRan.length}`);
    write(`bookings that ran with the key that had been taken away: ${droppedThatRan.length}`);
    return unknownThatRan.length > 0 || droppedThatRan.length > 0;
});
