MVN = mvn -B -ntp

.PHONY: build test lint run toy

build:
	$(MVN) -q -DskipTests package

test:
	$(MVN) -f all/pom.xml verify

lint:
	$(MVN) -q compile checkstyle:check@lint

run: build
	java -jar target/reedquay.jar serve example/config.json

toy: build
	java -cp target/reedquay.jar example/StandIn.java

.PHONY: lab
lab:
	$(MVN) -q -f all/pom.xml -DskipTests package
