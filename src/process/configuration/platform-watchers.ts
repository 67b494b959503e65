/** Which routers hold a watch on the platform: a few of each availability zone, the same ones in every router's view. */
import { rankByRendezvous } from "../../common/rendezvous.js";
import { type Fleet, type RouterMember, RouterState } from "../../domain/fleet.js";

/** Two, so that the loss of one router leaves the availability zone with a watch. */
const watchersPerAvailabilityZone = 2;
const rankingKey = "platform-watchers";

/** Whether this router is one of those that watch the platform for its availability zone. */
export function isPlatformWatcher(fleet: Fleet): boolean {
    const { self } = fleet;
    const neighbours = fleet.members().filter(member =>
        member.id !== self.id && member.state === RouterState.alive && sameZone(member, self)
    );
    return rankByRendezvous(rankingKey, [self, ...neighbours], member => member.id)
        .slice(0, watchersPerAvailabilityZone)
        .includes(self);
}

function sameZone(left: RouterMember, right: RouterMember): boolean {
    return left.location.region === right.location.region
        && left.location.availabilityZone === right.location.availabilityZone;
}
