/**
 * Replays requests to a few plain servers behind many routers: the routers' load, estimates and choice are the real ones, a
 * server runs as many requests as it has slots and the others in the order of their arrival.
 */
import { jest } from "@jest/globals";
import { monotonicNow } from "../../../src/common/clock.js";
import { randomInteger, SeededRandom } from "../../../src/common/random.js";
import { FleetLoad, noticeIntervalMilliseconds } from "../../../src/process/gateway/fleet-load.js";
import { LocalServerLoad } from "../../../src/process/gateway/local-server-load.js";
import type { RequestCostEstimator, RequestOrigin, RunTimeEstimate } from "../../../src/process/request-costs/types.js";
import type { PlainServerPolicy } from "../../../src/request/gateway/plain-server-chooser.js";
import { serverEntry } from "../../process/gateway/fixtures.js";

export interface PlainLoad {
    readonly requestsPerSecond: number;
    /** Draws the route and the work in milliseconds of a request that arrives at the given time. */
    draw(random: SeededRandom, milliseconds: number): { readonly route: string; readonly work: number; };
    /** Run time on the server as a multiple of the work. */
    factor(serverId: string, milliseconds: number): number;
}

/** What a router decides with; `work` and `pace` are the truth, which only an oracle uses. */
export interface PlainDecisions {
    readonly costs: RequestCostEstimator;
    createPolicy(fleet: FleetLoad, random: SeededRandom, pace: (serverId: string) => number): PlainServerPolicy;
    runTime?(work: number): RunTimeEstimate;
}

const slots = 6;
export const plainServers = ["a", "b", "c", "d", "e"].map(id => serverEntry(id, { slots }));
const routerTotal = 15;
const stepMilliseconds = 5;
const warmUpMilliseconds = 20_000;
const replayMilliseconds = 150_000;
export const targetMilliseconds = 750;

/** Share of the requests that end within the target, and the time that 19 in 20 wait at most, after a time to learn. */
export function replayPlainLoad(load: PlainLoad, createDecisions: () => PlainDecisions) {
    const random = new SeededRandom(20261206);
    const routers = Array.from({ length: routerTotal }, () => {
        const local = new LocalServerLoad();
        const fleet = new FleetLoad(local, () => routerTotal);
        const decisions = createDecisions();
        const pace = (id: string) => load.factor(id, elapsed);
        return { local, fleet, decisions, policy: decisions.createPolicy(fleet, random, pace) };
    });
    const busyUntil = new Map(plainServers.map(({ id }) => [id, Array.from({ length: slots }, () => 0)]));
    const ends: { readonly at: number; readonly finish: () => void; }[] = [];
    const waits: number[] = [];
    let inTime = 0;
    let elapsed = 0;
    for (; elapsed < replayMilliseconds; elapsed += stepMilliseconds) {
        jest.advanceTimersByTime(stepMilliseconds);
        for (let index = ends.length - 1; index >= 0; index--) {
            if (ends[index]!.at <= elapsed) {
                ends.splice(index, 1)[0]!.finish();
            }
        }
        if (elapsed % noticeIntervalMilliseconds === 0) {
            const leader = routers[0]!.fleet;
            routers.slice(1).forEach(({ fleet }, index) =>
                leader.recordRouterLoads(String(index), fleet.localLoads, fleet.localWork)
            );
            routers.slice(1).forEach(({ fleet }, index) =>
                fleet.applyOtherLoads(leader.totalExcluding(String(index)), leader.workExcluding(String(index)))
            );
        }
        if (random.next() >= load.requestsPerSecond * stepMilliseconds / 1_000) {
            continue;
        }
        const { route, work } = load.draw(random, elapsed);
        const { local, decisions, policy } = routers[randomInteger(random, routerTotal)]!;
        const { id } = policy.select(plainServers)!;
        const origin: RequestOrigin = { service: "pool", route, customer: undefined };
        const free = busyUntil.get(id)!;
        const slot = free.indexOf(Math.min(...free));
        const startsAt = Math.max(elapsed, free[slot]!);
        const endsAt = startsAt + work * load.factor(id, elapsed);
        free[slot] = endsAt;
        const sentAt = monotonicNow();
        const end = local.beginPlainRequest(
            id,
            decisions.runTime?.(endsAt - elapsed) ?? decisions.costs.estimateRunTime(origin, id),
        );
        ends.push({
            at: endsAt,
            finish: () => {
                end();
                const milliseconds = monotonicNow() - sentAt;
                decisions.costs.recordRunTime({ ...origin, serverId: id, milliseconds, complete: true });
            },
        });
        if (elapsed >= warmUpMilliseconds) {
            waits.push(startsAt - elapsed);
            inTime += Number(endsAt - elapsed <= targetMilliseconds);
        }
    }
    waits.sort((left, right) => left - right);
    return { inTime: inTime / waits.length, wait: waits[Math.floor(waits.length * 0.95)]! };
}
