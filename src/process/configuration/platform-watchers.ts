/**
 * Selects the routers that keep a watch on the platform: a few per availability zone, by rendezvous hashing, so that
 * all routers with the same view of the fleet select the same ones.
 */
import { rankByRendezvous } from "../../common/rendezvous.js";
import { type Fleet, type RouterMember, RouterState } from "../../domain/fleet.js";

/** With two, an availability zone still has a watch after the loss of one router. */
const watchersPerAvailabilityZone = 2;
const rankingKey = "platform-watchers";

/** Whether this router is one of those that watch the platform for its availability zone. */
export function isPlatformWatcher(fleet: Fleet): boolean {
    const { self } = fleet;
    const zonePeers = fleet.members().filter(member =>
        member.id !== self.id && member.state === RouterState.alive && isInSameZone(member, self)
    );
    return rankByRendezvous(rankingKey, [self, ...zonePeers], member => member.id)
        .slice(0, watchersPerAvailabilityZone)
        .includes(self);
}

function isInSameZone(left: RouterMember, right: RouterMember): boolean {
    return left.location.region === right.location.region
        && left.location.availabilityZone === right.location.availabilityZone;
}
