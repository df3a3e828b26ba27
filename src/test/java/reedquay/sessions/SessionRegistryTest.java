package reedquay.sessions;

import static org.junit.jupiter.api.Assertions.*;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class SessionRegistryTest {
    private static final int OPEN_LIMIT = 12;
    private static final int STARTED_LIMIT = 7;
    private static final long SILENCE = 50;

    /** The plain model: each session with all that is known of it, searched anew for each question. */
    private static final class Model {
        final int id;
        final long openedAt;
        boolean started, unused = true, closing, owes;
        long idleSince = -1;
        long heldBackSince = -1;

        Model(int id, long openedAt) {
            this.id = id;
            this.openedAt = openedAt;
        }

        boolean isClosable() {
            return !closing && !owes && heldBackSince < 0;
        }
    }

    private final List<Model> model = new ArrayList<>(); // in the order of opening
    private final Set<Integer> owing = new HashSet<>();

    private Model oldestUnused() {
        return model.stream().filter(s -> s.unused && s.isClosable()).findFirst().orElse(null);
    }

    private static Model first(List<Model> sessions, java.util.function.ToLongFunction<Model> since) {
        return sessions.stream().filter(s -> since.applyAsLong(s) >= 0)
                .min(java.util.Comparator.comparingLong(since)).orElse(null);
    }

    private Model silentOrIdle(long now) {
        Model unused = oldestUnused();
        return unused != null && now - unused.openedAt >= SILENCE ? unused
                : first(model.stream().filter(Model::isClosable).toList(), s -> s.idleSince);
    }

    private Model closedForRoom(long now) {
        if (model.size() <= OPEN_LIMIT) {
            return null;
        }
        List<Model> heldBack = model.stream().filter(s -> s.heldBackSince >= 0).toList();
        if (heldBack.size() > model.size() / 2) {
            return first(heldBack, s -> s.heldBackSince);
        }
        Model candidate = silentOrIdle(now);
        return candidate != null ? candidate : oldestUnused();
    }

    private Model closedAmongStarted(long now) {
        long counted = model.stream().filter(s -> s.started && s.heldBackSince < 0).count();
        return counted > STARTED_LIMIT ? silentOrIdle(now) : null;
    }

    private static Integer id(Model session) {
        return session == null ? null : session.id;
    }

    @Test void closesAsThePlainModelDoes() {
        SplittableRandom random = new SplittableRandom(48);
        SessionRegistry<Integer> registry =
                new SessionRegistry<>(OPEN_LIMIT, STARTED_LIMIT, SILENCE, owing::contains);
        int closed = 0;
        for (int step = 0; step < 200_000; step++) {
            if (model.size() < 20 && random.nextInt(2) == 0) {
                model.add(new Model(step, step));
                registry.opened(step);
            }
            Model session = model.isEmpty() ? null : model.get(random.nextInt(model.size()));
            if (session != null && !session.closing) {
                change(registry, session, random, step);
            }
            Model unused = oldestUnused();
            assertEquals(id(unused), registry.oldestUnused());
            long unusedAt = unused == null ? 0 : unused.openedAt;
            assertEquals(id(closedForRoom(step)), registry.toCloseForRoom(step, unusedAt));
            assertEquals(id(closedAmongStarted(step)), registry.toCloseAmongStarted(step, unusedAt));
            closed += closedForRoom(step) == null ? 0 : 1;
        }
        assertTrue(closed > 2_000, "only " + closed + " closes were compared");
    }

    private void change(SessionRegistry<Integer> registry, Model session, SplittableRandom random, long now) {
        switch (random.nextInt(9)) {
            case 0 -> {
                session.started = true;
                registry.startupReceived(session.id);
            }
            case 1, 2 -> {
                session.unused = false;
                registry.messageReceived(session.id);
            }
            case 3, 4 -> {
                boolean isIdle = random.nextInt(3) > 0;
                session.idleSince = isIdle && !session.unused ? now : -1;
                assertEquals(session.idleSince >= 0, registry.setIdle(session.id, isIdle));
            }
            case 5, 6 -> {
                boolean isHeldBack = random.nextBoolean();
                session.heldBackSince = !isHeldBack ? -1 : session.heldBackSince < 0 ? now : session.heldBackSince;
                registry.setHeldBack(session.id, isHeldBack);
                assertEquals(isHeldBack, registry.isHeldBack(session.id));
            }
            case 7 -> {
                session.owes = !session.owes && owing.add(session.id) || session.owes && !owing.remove(session.id);
            }
            default -> {
                if (random.nextInt(2) == 0) {
                    model.remove(session);
                    registry.closed(session.id);
                } else if (random.nextInt(3) == 0) {
                    session.closing = true;
                    session.started = false;
                    session.unused = false;
                    session.idleSince = -1;
                    session.heldBackSince = -1;
                    registry.closing(session.id);
                }
            }
        }
    }
}
